/**
 * Publishes the planner's admission forecast while jobs of some shape would be worth nothing if they arrived now: at most one write a second, conditional on
 * the leader's key. Otherwise the key is absent.
 */
import type { Store } from '@dragonflylever/adapters'
import type { AdmissionForecast } from '@dragonflylever/core/graphs/index'
import type { Logger } from '@dragonflylever/runtime'

import { encodeAdmissionRecord } from '../shared/admissionRecord.js'
import type { GraphKeys } from './graphKeys.js'

/** Time between two forecasts, in milliseconds. Entries ignore a forecast that is older than three times this. */
const PUBLISH_INTERVAL_MS = 1_000

/** Dependencies of {@link AdmissionPublisher}. */
export interface AdmissionPublisherDependencies {
  readonly store: Store
  readonly keys: GraphKeys
  readonly leaderKey: string
  readonly epoch: number
  readonly logger: Logger
  readonly createForecast: () => AdmissionForecast
}

export class AdmissionPublisher {
  private readonly _dependencies: AdmissionPublisherDependencies
  private readonly _timer: NodeJS.Timeout
  /** True if the key may exist, also when an earlier planner left it. */
  private _mayExist = true
  private _isRefusing = false
  private _isWriting = false

  constructor (dependencies: AdmissionPublisherDependencies) {
    this._dependencies = dependencies
    this._timer = setInterval(() => { void this._publish() }, PUBLISH_INTERVAL_MS)
  }

  close (): void {
    clearInterval(this._timer)
  }

  private async _publish (): Promise<void> {
    if (this._isWriting) return
    const { store, keys, leaderKey, epoch, createForecast } = this._dependencies
    const forecast = createForecast()
    const isRefusing = forecast.shapes.length > 0
    this._noteChange(forecast, isRefusing)
    if (!isRefusing && !this._mayExist) return
    this._isWriting = true
    const expect = [{ key: leaderKey, modRevision: epoch }]
    const outcome = isRefusing
      ? await store.transact({ expect, puts: [{ key: keys.admission, value: encodeAdmissionRecord({ epoch, forecast }) }], removes: [] })
      : await store.transact({ expect, puts: [], removes: [keys.admission] })
    this._isWriting = false
    // After a conflict this process is not the planner any more, and its session ends elsewhere.
    if (outcome.kind === 'ok') this._mayExist = isRefusing
    else if (isRefusing) this._mayExist = true
  }

  private _noteChange ({ shapes }: AdmissionForecast, isRefusing: boolean): void {
    if (isRefusing === this._isRefusing) return
    this._isRefusing = isRefusing
    const { logger } = this._dependencies
    if (isRefusing) logger.info({ shapes: shapes.map(({ queue, tasks, accelerators, optimisticMs, expectedMs }) => ({ queue, tasks, accelerators, optimisticMs: Math.round(optimisticMs), expectedMs: Math.round(expectedMs) })) }, 'jobs of some shapes would be worth nothing; entries refuse them')
    else logger.info({}, 'no job would be worth nothing any more; entries refuse none')
  }
}
