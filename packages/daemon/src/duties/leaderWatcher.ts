/**
 * Tracks which process is the leader of one role: by a watch of the leader's key in the store, and by announcements that a new leader sends
 * to processes that can't read the store.
 */
import { PrefixWatcher } from '@dragonflylever/adapters'
import type { Store, StoredValue, WatchEvent } from '@dragonflylever/adapters'
import type { Logger } from '@dragonflylever/runtime'

import { decodeLeaderRecord, getLeaderKey } from './leaderElector.js'
import type { LeaderView } from './leaderElector.js'

/** Options of {@link LeaderWatcher}. */
export interface LeaderWatcherOptions {
  readonly store: Store
  readonly prefix: string
  readonly duty: string
  readonly logger: Logger
  /** Called with the new leader at each change; undefined when there is no leader. */
  readonly onChange: (view: LeaderView | undefined) => void
}

export class LeaderWatcher {
  private readonly _options: LeaderWatcherOptions
  private readonly _key: string
  private readonly _watcher: PrefixWatcher
  private _leader: LeaderView | undefined
  private _isVacant = false

  constructor (options: LeaderWatcherOptions) {
    this._options = options
    this._key = getLeaderKey(options.prefix, options.duty)
    this._watcher = new PrefixWatcher({
      store: options.store,
      prefix: this._key,
      onList: values => this._applyList(values),
      onEvents: events => this._applyEvents(events),
      onHealthChange: (isWatching, message) => {
        if (isWatching) options.logger.info({ duty: options.duty }, 'watching the leader in the store')
        else options.logger.warn({ duty: options.duty, message }, 'cannot watch the leader in the store; will retry')
      }
    })
  }

  /** The last known leader. After its leadership has ended, it is still returned until its successor is known. */
  get leader (): LeaderView | undefined {
    return this._leader
  }

  /** True if, according to the latest update from the store, there is no leader. */
  get isVacant (): boolean {
    return this._isVacant
  }

  open (): Promise<void> {
    return this._watcher.open()
  }

  /** Applies a leader's announcement of itself, which is ignored unless its epoch is higher than that of the known leader. */
  acceptLeader (view: LeaderView): void {
    if (view.epoch <= (this._leader?.epoch ?? 0)) return
    this._setLeader(view)
  }

  close (): void {
    this._watcher.close()
  }

  private _applyList (values: readonly StoredValue[]): void {
    const found = values.find(value => value.key === this._key)
    if (found === undefined) this._recordVacancy()
    else this._applyRecord(found)
  }

  private _applyEvents (events: readonly WatchEvent[]): void {
    for (const event of events) {
      if (event.kind === 'put' && event.value.key === this._key) this._applyRecord(event.value)
      if (event.kind === 'removed' && event.key === this._key) this._recordVacancy()
    }
  }

  private _applyRecord (stored: StoredValue): void {
    if (stored.createRevision < (this._leader?.epoch ?? 0)) return
    this._isVacant = false
    if (stored.createRevision === this._leader?.epoch) return
    const view = decodeLeaderRecord(this._options.duty, stored)
    if (view !== undefined) return this._setLeader(view)
    this._options.logger.error({ duty: this._options.duty, revision: stored.modRevision }, 'leader record is unreadable; ignoring it')
  }

  private _recordVacancy (): void {
    this._isVacant = true
    this._options.onChange(undefined)
  }

  private _setLeader (view: LeaderView): void {
    this._leader = view
    this._isVacant = false
    this._options.logger.info({ duty: view.duty, holder: view.holder, epoch: view.epoch }, 'leader changed')
    this._options.onChange(view)
  }
}
