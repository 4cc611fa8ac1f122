/**
 * Follows the accepted configuration in the store: one read, then a watch; again after each break.
 */
import type { Store, StoredValue, Watch } from '@dragonflylever/platform'

import type { ConfigurationHolder } from './configurationHolder.js'

const RETRY_MS = 500

/** Returns the store key of the accepted configuration. */
export function getConfigurationKey (prefix: string): string {
  return `${prefix}/config/current`
}

export class ConfigurationWatcher {
  private readonly _store: Store
  private readonly _key: string
  private readonly _holder: ConfigurationHolder
  private _watch: Watch | undefined
  private _retry: NodeJS.Timeout | undefined
  private _isClosed = false

  constructor (store: Store, prefix: string, holder: ConfigurationHolder) {
    this._store = store
    this._key = getConfigurationKey(prefix)
    this._holder = holder
  }

  /** Reads the configuration once and follows it from there. */
  async start (): Promise<void> {
    const outcome = await this._store.get(this._key)
    if (this._isClosed) return
    if (outcome.kind !== 'ok') {
      this._scheduleRetry()
      return
    }
    if (outcome.value !== undefined) this._take(outcome.value)
    this._watch = this._store.watch(this._key, outcome.storeRevision + 1, {
      onEvents: events => { for (const event of events) if (event.kind === 'put') this._take(event.value) },
      onEnd: () => this._scheduleRetry()
    })
  }

  close (): void {
    this._isClosed = true
    this._watch?.close()
    clearTimeout(this._retry)
  }

  private _take (stored: StoredValue): void {
    if (stored.key === this._key) this._holder.offer(JSON.parse(stored.value))
  }

  private _scheduleRetry (): void {
    if (!this._isClosed) this._retry = setTimeout(() => { void this.start() }, RETRY_MS)
  }
}
