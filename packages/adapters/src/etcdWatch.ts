/**
 * A watch over the JSON mapping of the etcd v3 API: a streaming response with one JSON object per line.
 */
import type { Pool } from 'undici'

import { EtcdPath, decodeBytes, encodeBytes, encodePrefixEnd } from './etcdMessages.js'
import type { EtcdWatchEvent, EtcdWatchResponse } from './etcdMessages.js'
import type { Watch, WatchEvent, WatchListener } from './store.js'

export class EtcdWatch implements Watch {
  private readonly _abort = new AbortController()
  private readonly _listener: WatchListener
  private _isEnded = false

  constructor (pool: Pool, prefix: string, fromRevision: number, listener: WatchListener) {
    this._listener = listener
    void this._readEvents(pool, prefix, fromRevision)
  }

  close (): void {
    this._isEnded = true
    this._abort.abort()
  }

  private async _readEvents (pool: Pool, prefix: string, fromRevision: number): Promise<void> {
    try {
      const request = { key: encodeBytes(prefix), range_end: encodePrefixEnd(prefix), start_revision: String(fromRevision), progress_notify: true }
      const response = await pool.request({
        method: 'POST',
        path: EtcdPath.watch,
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify({ create_request: request }),
        signal: this._abort.signal,
        headersTimeout: 0,
        bodyTimeout: 0
      })
      await this._readLines(response.body)
      this._endWatch('the store closed the watch')
    } catch (error) {
      this._endWatch(`watch failed: ${(error as Error).message}`)
    }
  }

  private async _readLines (body: AsyncIterable<Buffer>): Promise<void> {
    let partialLine = ''
    const decoder = new TextDecoder()
    for await (const chunk of body) {
      const lines = (partialLine + decoder.decode(chunk, { stream: true })).split('\n')
      partialLine = lines.pop() ?? ''
      for (const line of lines) this._acceptLine(line)
      if (this._isEnded) return
    }
  }

  private _acceptLine (line: string): void {
    if (line.trim() === '' || this._isEnded) return
    const { result } = JSON.parse(line) as { result?: EtcdWatchResponse }
    if (result === undefined || result.canceled === true) {
      this._endWatch('the store cancelled the watch')
      return
    }
    const events = (result.events ?? []).map(decodeEvent)
    if (events.length > 0) this._listener.onEvents(events)
  }

  private _endWatch (message: string): void {
    if (this._isEnded) return
    this._isEnded = true
    this._abort.abort()
    this._listener.onEnd(message)
  }
}

function decodeEvent (event: EtcdWatchEvent): WatchEvent {
  const key = decodeBytes(event.kv.key)
  const modRevision = Number(event.kv.mod_revision)
  if (event.type === 'DELETE') return { kind: 'removed', key, modRevision }
  return { kind: 'put', value: { key, value: decodeBytes(event.kv.value ?? ''), modRevision, createRevision: Number(event.kv.create_revision) } }
}
