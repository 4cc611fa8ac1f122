/**
 * Watches all keys under a prefix: lists them, then opens a watch, and lists again whenever the watch ends.
 */
import type { CallStart, Store, StoredValue, Watch, WatchEvent } from './store.js'

/** Delay before a failed list call is retried, in milliseconds. */
const RETRY_MS = 250

/** Dependencies of {@link PrefixWatcher}. */
export interface PrefixWatcherOptions {
  readonly store: Store
  readonly prefix: string
  /** Time after which a watch that hears nothing must have found out whether its connection is dead, in milliseconds. */
  readonly maxSilenceMs?: number
  /** True if the prefix is one key of which only the current value counts, so that versions may be left out. */
  readonly isValueOnly?: boolean
  /** Called after each list call with all current values. Keys from an earlier list that are missing now have been removed from the store. */
  readonly onList: (values: readonly StoredValue[]) => void
  readonly onEvents: (events: readonly WatchEvent[]) => void
  /** Called when the store has confirmed that all changes up to a revision have been delivered; they are as old as the start of the call. */
  readonly onConfirm?: (storeRevision: number, callStartedAt: CallStart) => void
  /** Called after each call of the watch that brought no usable answer and is repeated. `elapsedMs` is its duration in milliseconds. */
  readonly onCallFailure?: (message: string, elapsedMs: number) => void
  /** Called with the error in `message` when listing or watching fails, and with an empty `message` when the prefix is watched (again). */
  readonly onHealthChange?: (isWatching: boolean, message: string) => void
}

export class PrefixWatcher {
  private readonly _options: PrefixWatcherOptions
  private _watch: Watch | undefined
  private _retry: NodeJS.Timeout | undefined
  private _isClosed = false
  private _isWatching: boolean | undefined

  constructor (options: PrefixWatcherOptions) {
    this._options = options
  }

  /**
   * Lists the keys and opens the watch. Resolves after the first attempt, even if that failed; failed attempts are repeated until
   * {@link close} is called.
   */
  async open (): Promise<void> {
    const { store, prefix, maxSilenceMs, isValueOnly, onList, onEvents, onConfirm, onCallFailure } = this._options
    const callStartedAt = { monotonicMs: performance.now(), wallMs: Date.now() }
    const listed = await store.list(prefix)
    if (this._isClosed) return
    if (listed.kind !== 'ok') {
      this._updateHealth(false, listed.message)
      this._retry = setTimeout(() => { void this.open() }, RETRY_MS)
      return
    }
    this._updateHealth(true, '')
    onList(listed.values)
    onConfirm?.(listed.storeRevision, callStartedAt)
    this._watch = store.watch(prefix, listed.storeRevision + 1, {
      onEvents,
      onConfirm: (storeRevision, startedAt) => onConfirm?.(storeRevision, startedAt),
      onFailure: (message, elapsedMs) => onCallFailure?.(message, elapsedMs),
      onEnd: message => {
        if (this._isClosed) return
        this._updateHealth(false, message)
        this._retry = setTimeout(() => { void this.open() }, 0)
      }
    }, { ...(maxSilenceMs === undefined ? {} : { maxSilenceMs }), ...(isValueOnly === undefined ? {} : { isValueOnly }) })
  }

  close (): void {
    this._isClosed = true
    clearTimeout(this._retry)
    this._watch?.close()
  }

  private _updateHealth (isWatching: boolean, message: string): void {
    if (this._isWatching === isWatching) return
    this._isWatching = isWatching
    this._options.onHealthChange?.(isWatching, message)
  }
}
