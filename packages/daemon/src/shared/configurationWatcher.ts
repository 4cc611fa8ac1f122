/**
 * Watches the accepted configuration in the store: reads it once and then opens a watch. The watch is reopened at intervals from the
 * revision after the last one received, so that a watch that stalls or skips events delays changes by at most one interval.
 */
import type { Store, StoredValue, Watch, WatchEvent } from '@dragonflylever/adapters'

import type { ConfigurationHolder } from './configurationHolder.js'

const RETRY_DELAY_MS = 500
const REOPEN_INTERVAL_MS = 5_000

/** Returns the store key of the accepted configuration. */
export function getConfigurationKey (prefix: string): string {
  return `${prefix}/config/current`
}

export class ConfigurationWatcher {
  private readonly _store: Store
  private readonly _key: string
  private readonly _holder: ConfigurationHolder
  private _watch: Watch | undefined
  private _timer: NodeJS.Timeout | undefined
  private _isOpen = false
  private _nextRevision = 0

  constructor (store: Store, prefix: string, holder: ConfigurationHolder) {
    this._store = store
    this._key = getConfigurationKey(prefix)
    this._holder = holder
  }

  /** Reads the configuration and then watches it for changes; does nothing when already started. */
  async start (): Promise<void> {
    if (this._isOpen) return
    this._isOpen = true
    await this._readCurrent()
  }

  /** Stops watching; `start` restarts it. */
  close (): void {
    this._isOpen = false
    this._watch?.close()
    this._watch = undefined
    clearTimeout(this._timer)
  }

  private async _readCurrent (): Promise<void> {
    const outcome = await this._store.get(this._key)
    if (!this._isOpen) return
    if (outcome.kind !== 'ok') {
      this._startTimer(RETRY_DELAY_MS, () => { void this._readCurrent() })
      return
    }
    this._nextRevision = outcome.storeRevision + 1
    if (outcome.value !== undefined) this._applyStored(outcome.value)
    this._openWatch()
  }

  private _openWatch (): void {
    this._watch?.close()
    this._watch = this._store.watch(this._key, this._nextRevision, {
      onEvents: events => this._applyEvents(events),
      onEnd: () => this._startTimer(RETRY_DELAY_MS, () => { void this._readCurrent() })
    })
    this._startTimer(REOPEN_INTERVAL_MS, () => this._openWatch())
  }

  private _applyEvents (events: readonly WatchEvent[]): void {
    for (const event of events) {
      const revision = event.kind === 'put' ? event.value.modRevision : event.modRevision
      this._nextRevision = Math.max(this._nextRevision, revision + 1)
      if (event.kind === 'put') this._applyStored(event.value)
    }
  }

  private _applyStored (stored: StoredValue): void {
    if (stored.key === this._key) this._holder.applyIfNewer(JSON.parse(stored.value))
  }

  private _startTimer (ms: number, run: () => void): void {
    clearTimeout(this._timer)
    if (this._isOpen) this._timer = setTimeout(run, ms)
  }
}
