/**
 * Follows who holds a duty: from the store, and from what a new holder says itself to those that can't read the store.
 */
import { PrefixFollower } from '@dragonflylever/adapters'
import type { Store, StoredValue, WatchEvent } from '@dragonflylever/adapters'
import type { Logger } from '@dragonflylever/runtime'

import { decodeDuty, getDutyKey } from './dutyHolder.js'
import type { DutyView } from './dutyHolder.js'

/** What a follower works with. */
export interface DutyFollowerOptions {
  readonly store: Store
  readonly prefix: string
  readonly duty: string
  readonly logger: Logger
  /** Called with the holder at each change; undefined when nobody holds the duty. */
  readonly onChange: (view: DutyView | undefined) => void
}

export class DutyFollower {
  private readonly _options: DutyFollowerOptions
  private readonly _key: string
  private readonly _follower: PrefixFollower
  private _view: DutyView | undefined
  private _isVacant = false

  constructor (options: DutyFollowerOptions) {
    this._options = options
    this._key = getDutyKey(options.prefix, options.duty)
    this._follower = new PrefixFollower({
      store: options.store,
      prefix: this._key,
      onList: values => this._takeList(values),
      onEvents: events => this._takeEvents(events),
      onHealth: (isFollowing, message) => {
        if (isFollowing) options.logger.info({ duty: options.duty }, 'store followed')
        else options.logger.warn({ duty: options.duty, message }, 'store not followed')
      }
    })
  }

  /** The last known holder; it stays known while its successor is not. */
  get view (): DutyView | undefined {
    return this._view
  }

  /** True when the store said last that nobody holds the duty. */
  get isVacant (): boolean {
    return this._isVacant
  }

  open (): Promise<void> {
    return this._follower.open()
  }

  /** Takes a holder's own word; a lower epoch changes nothing. */
  note (view: DutyView): void {
    if (view.epoch <= (this._view?.epoch ?? 0)) return
    this._set(view)
  }

  close (): void {
    this._follower.close()
  }

  private _takeList (values: readonly StoredValue[]): void {
    const found = values.find(value => value.key === this._key)
    if (found === undefined) this._vacate()
    else this._take(found)
  }

  private _takeEvents (events: readonly WatchEvent[]): void {
    for (const event of events) {
      if (event.kind === 'put' && event.value.key === this._key) this._take(event.value)
      if (event.kind === 'removed' && event.key === this._key) this._vacate()
    }
  }

  private _take (stored: StoredValue): void {
    if (stored.createRevision < (this._view?.epoch ?? 0)) return
    this._isVacant = false
    if (stored.createRevision === this._view?.epoch) return
    try {
      this._set(decodeDuty(this._options.duty, stored))
    } catch (error) {
      this._options.logger.error({ duty: this._options.duty, revision: stored.modRevision, message: (error as Error).message }, 'duty record unreadable, ignored')
    }
  }

  private _vacate (): void {
    this._isVacant = true
    this._options.onChange(undefined)
  }

  private _set (view: DutyView): void {
    this._view = view
    this._isVacant = false
    this._options.logger.info({ duty: view.duty, holder: view.holder, epoch: view.epoch }, 'duty has a holder')
    this._options.onChange(view)
  }
}
