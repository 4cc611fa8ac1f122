/**
 * Key-value store stand-in over HTTP: serves the JSON mapping of the etcd v3 API from a store engine and injects faults.
 */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'

import { EtcdPath, decodeBytes, encodeBytes } from '@dragonflylever/adapters'
import type { EtcdCompare, EtcdKeyValue, EtcdRangeRequest, EtcdRangeResponse, EtcdRequestOp, EtcdResponseOp, EtcdTxnRequest, EtcdTxnResponse, StoredValue, WatchEvent } from '@dragonflylever/adapters'

import { listen, readJson, sendJson } from './httpStandIn.js'
import { StoreEngine } from './storeEngine.js'
import { createCallCounts, createStoreFaults } from './storeFaults.js'

const MS_PER_S = 1_000
const EXPIRE_INTERVAL_MS = 100

export class StoreStandIn {
  readonly engine = new StoreEngine()
  readonly faults = createStoreFaults()
  readonly counts = createCallCounts()
  private readonly _server: Server
  private _expiryTimer: NodeJS.Timeout | undefined
  private _url = ''

  private constructor () {
    this._server = createServer((request, response) => { void this._handleRequest(request, response) })
  }

  /** Starts a store on a loopback port; 0 picks a free port. */
  static async open (port = 0): Promise<StoreStandIn> {
    const store = new StoreStandIn()
    store._url = await listen(store._server, port)
    store._expiryTimer = setInterval(() => store.engine.expireLeases(), EXPIRE_INTERVAL_MS)
    return store
  }

  get url (): string {
    return this._url
  }

  /** Makes the store unavailable or available again: pending calls and watches are cut, and new calls fail. */
  setDown (isDown: boolean): void {
    this.faults.isDown = isDown
    if (isDown) this._server.closeAllConnections()
  }

  async close (): Promise<void> {
    clearInterval(this._expiryTimer)
    this._server.closeAllConnections()
    await new Promise(resolve => this._server.close(resolve))
  }

  private async _handleRequest (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readJson(request)
    if (this.faults.delayMs > 0) await new Promise(resolve => setTimeout(resolve, this.faults.delayMs))
    if (this.faults.isDown) {
      request.socket.destroy()
      return
    }
    this._routeRequest(request.url ?? '', body, response)
  }

  private _routeRequest (path: string, body: unknown, response: ServerResponse): void {
    if (path === EtcdPath.range) return this._serveRange(body as EtcdRangeRequest, response)
    if (path === EtcdPath.txn) return this._serveTxn(body as EtcdTxnRequest, response)
    if (path === EtcdPath.grant) return this._serveGrant(body as { TTL: string }, response)
    if (path === EtcdPath.keepAlive) return this._serveKeepAlive(body as { ID: string }, response)
    if (path === EtcdPath.revoke) return this._serveRevoke(body as { ID: string }, response)
    if (path === EtcdPath.watch) return this._serveWatch(body as { create_request: EtcdRangeRequest & { start_revision?: string } }, response)
    sendJson(response, 404, { code: 5, message: 'Not Found' })
  }

  private _serveRange (body: EtcdRangeRequest, response: ServerResponse): void {
    this.counts.reads++
    sendJson(response, 200, this._readRange(body))
  }

  private _serveTxn (body: EtcdTxnRequest, response: ServerResponse): void {
    this.counts.writes++
    const answer = this._transact(body)
    if (this.faults.loseAnswers > 0) {
      this.faults.loseAnswers--
      response.destroy()
      return
    }
    sendJson(response, 200, answer)
  }

  private _serveGrant (body: { TTL: string }, response: ServerResponse): void {
    this.counts.leases++
    const leaseId = this.engine.grantLease(Number(body.TTL) * MS_PER_S)
    sendJson(response, 200, { header: this._makeHeader(), ID: leaseId, TTL: body.TTL })
  }

  private _serveKeepAlive (body: { ID: string }, response: ServerResponse): void {
    this.counts.leases++
    const ttlMs = this.engine.renewLease(body.ID)
    const result = ttlMs === undefined ? { header: this._makeHeader(), ID: body.ID } : { header: this._makeHeader(), ID: body.ID, TTL: String(ttlMs / MS_PER_S) }
    sendJson(response, 200, { result })
  }

  private _serveRevoke (body: { ID: string }, response: ServerResponse): void {
    this.counts.leases++
    if (this.engine.revokeLease(body.ID)) return sendJson(response, 200, { header: this._makeHeader() })
    sendJson(response, 404, { code: 5, message: 'etcdserver: requested lease not found' })
  }

  private _serveWatch (body: { create_request: EtcdRangeRequest & { start_revision?: string } }, response: ServerResponse): void {
    this.counts.watches++
    const prefix = decodeBytes(body.create_request.key)
    response.writeHead(200, { 'content-type': 'application/json' })
    this._writeWatchLine(response, { header: this._makeHeader(), created: true })
    const from = Number(body.create_request.start_revision ?? 0)
    const send = (events: readonly WatchEvent[]): void => {
      if (this.faults.skipWatchEvents || events.length === 0) return
      this._writeWatchLine(response, { header: this._makeHeader(), events: events.map(encodeEvent) })
    }
    if (from > 0) send(this.engine.readHistory(prefix, from))
    const stop = this.engine.subscribe(event => {
      const key = event.kind === 'put' ? event.value.key : event.key
      if (key.startsWith(prefix)) send([event])
    })
    response.on('close', stop)
  }

  private _writeWatchLine (response: ServerResponse, result: object): void {
    response.write(`${JSON.stringify({ result })}\n`)
  }

  private _readRange (body: EtcdRangeRequest): EtcdRangeResponse {
    const key = decodeBytes(body.key)
    const row = this.engine.get(key)
    const rows = body.range_end === undefined ? (row === undefined ? [] : [row]) : this.engine.list(key)
    return { header: this._makeHeader(), kvs: rows.map(encodeKeyValue), count: String(rows.length) }
  }

  private _transact (body: EtcdTxnRequest): EtcdTxnResponse {
    const isMet = (body.compare ?? []).every(compare => this._isCompareMet(compare))
    const operations = (isMet ? body.success : body.failure) ?? []
    const responses = operations.map(operation => this._performOperation(operation))
    return { header: this._makeHeader(), ...(isMet ? { succeeded: true } : {}), responses }
  }

  private _isCompareMet (compare: EtcdCompare): boolean {
    const current = this.engine.get(decodeBytes(compare.key))
    return (current?.modRevision ?? 0) === Number(compare.mod_revision)
  }

  private _performOperation (operation: EtcdRequestOp): EtcdResponseOp {
    if ('request_range' in operation) return { response_range: this._readRange(operation.request_range) }
    if ('request_txn' in operation) return { response_txn: this._transact(operation.request_txn) }
    if ('request_put' in operation) {
      const { key, value, lease } = operation.request_put
      const leaseId = lease === undefined ? {} : { leaseId: lease }
      this.engine.put({ key: decodeBytes(key), value: decodeBytes(value), expect: { kind: 'any' }, ...leaseId })
      return { response_put: { header: this._makeHeader() } }
    }
    this.engine.remove(decodeBytes(operation.request_delete_range.key), { kind: 'any' })
    return { response_delete_range: { header: this._makeHeader(), deleted: '1' } }
  }

  private _makeHeader (): { revision: string } {
    return { revision: String(this.engine.revision) }
  }
}

function encodeKeyValue (row: StoredValue): EtcdKeyValue {
  return { key: encodeBytes(row.key), value: encodeBytes(row.value), mod_revision: String(row.modRevision), create_revision: String(row.createRevision) }
}

function encodeEvent (event: WatchEvent): object {
  if (event.kind === 'put') return { kv: encodeKeyValue(event.value) }
  return { type: 'DELETE', kv: { key: encodeBytes(event.key), mod_revision: String(event.modRevision), create_revision: '0' } }
}
