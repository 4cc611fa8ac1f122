/**
 * Watches the planner's admission forecast. A record counts only while the planner keeps renewing it: once two answers of the store within {@link MAX_AGE_MS} have
 * brought one of the same planner, and for that time after the last. So neither a record that a former planner left nor one delivered late makes an entry refuse.
 */
import { PrefixWatcher } from '@dragonflylever/adapters'
import type { Store, WatchEvent } from '@dragonflylever/adapters'
import type { AdmissionForecast } from '@dragonflylever/core/graphs/index'
import type { Logger } from '@dragonflylever/runtime'

import type { GraphKeys } from '../jobPlanner/graphKeys.js'
import { decodeAdmissionRecord } from '../shared/admissionRecord.js'
import type { AdmissionRecord } from '../shared/admissionRecord.js'

/** Age from which a forecast is ignored, in milliseconds; the planner renews it every second. */
const MAX_AGE_MS = 3_000

/** Dependencies of {@link AdmissionWatcher}. */
export interface AdmissionWatcherDependencies {
  readonly store: Store
  readonly keys: GraphKeys
  readonly logger: Logger
}

interface ReceivedRecord {
  readonly record: AdmissionRecord
  readonly at: number
  /** True if another record of the same planner had arrived shortly before. */
  readonly isRenewed: boolean
}

export class AdmissionWatcher {
  private readonly _dependencies: AdmissionWatcherDependencies
  private readonly _watcher: PrefixWatcher
  private _received: ReceivedRecord | undefined

  constructor (dependencies: AdmissionWatcherDependencies) {
    this._dependencies = dependencies
    const { store, keys, logger } = dependencies
    this._watcher = new PrefixWatcher({
      store,
      prefix: keys.admission,
      // A listed record is of unknown age.
      onList: () => { this._received = undefined },
      onEvents: events => this._applyEvents(events),
      onHealthChange: (isWatching, message) => {
        if (isWatching) logger.info({}, 'watching the admission forecast')
        else logger.warn({ message }, 'cannot watch the admission forecast; accepting all jobs')
      }
    })
  }

  /** The forecast; undefined if none is in force. */
  get forecast (): AdmissionForecast | undefined {
    const received = this._received
    return received?.isRenewed === true && performance.now() - received.at <= MAX_AGE_MS ? received.record.forecast : undefined
  }

  open (): Promise<void> {
    return this._watcher.open()
  }

  close (): void {
    this._watcher.close()
    this._received = undefined
  }

  private _applyEvents (events: readonly WatchEvent[]): void {
    const last = events.findLast(event => getKey(event) === this._dependencies.keys.admission)
    if (last === undefined) return
    const record = last.kind === 'put' ? decodeAdmissionRecord(last.value.value) : undefined
    if (record === undefined) {
      this._received = undefined
      return
    }
    const now = performance.now()
    const before = this._received
    const isRenewed = before !== undefined && before.record.epoch === record.epoch && now - before.at <= MAX_AGE_MS
    this._received = { record, at: now, isRenewed }
  }
}

function getKey (event: WatchEvent): string {
  return event.kind === 'put' ? event.value.key : event.key
}
