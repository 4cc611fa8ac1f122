/**
 * Follows all keys under a prefix: lists them, then watches, and lists again whenever the watch can't go on.
 */
import type { Store, StoredValue, Watch, WatchEvent } from './store.js'

/** Pause before a list is tried again, in milliseconds. */
const RETRY_MS = 250

/** What a follower works with. */
export interface PrefixFollowerOptions {
  readonly store: Store
  readonly prefix: string
  /** Called with all keys; keys that were there before and are not listed are gone. */
  readonly onList: (values: readonly StoredValue[]) => void
  readonly onEvents: (events: readonly WatchEvent[]) => void
  /** Called when the list could not be had, and when it could again. */
  readonly onHealth?: (isFollowing: boolean, message: string) => void
}

export class PrefixFollower {
  private readonly _options: PrefixFollowerOptions
  private _watch: Watch | undefined
  private _retry: NodeJS.Timeout | undefined
  private _isClosed = false
  private _isFollowing: boolean | undefined

  constructor (options: PrefixFollowerOptions) {
    this._options = options
  }

  /** Lists and begins to watch; resolves after the first try. */
  async open (): Promise<void> {
    const { store, prefix, onList, onEvents } = this._options
    const listed = await store.list(prefix)
    if (this._isClosed) return
    if (listed.kind !== 'ok') {
      this._updateHealth(false, listed.message)
      this._retry = setTimeout(() => { void this.open() }, RETRY_MS)
      return
    }
    this._updateHealth(true, '')
    onList(listed.values)
    this._watch = store.watch(prefix, listed.storeRevision + 1, {
      onEvents,
      onEnd: message => {
        if (this._isClosed) return
        this._updateHealth(false, message)
        this._retry = setTimeout(() => { void this.open() }, 0)
      }
    })
  }

  close (): void {
    this._isClosed = true
    clearTimeout(this._retry)
    this._watch?.close()
  }

  private _updateHealth (isFollowing: boolean, message: string): void {
    if (this._isFollowing === isFollowing) return
    this._isFollowing = isFollowing
    this._options.onHealth?.(isFollowing, message)
  }
}
