/**
 * An agent's link to the planner: reports the state of the agent's workers about once a second and at each change, and applies the orders
 * in the answers.
 */
import type { PeerRpc, WorkerOrdersMessage } from '@dragonflylever/protocol'
import type { WorkerReport } from '@dragonflylever/core/graphs/index'
import { readClocks } from '@dragonflylever/runtime'
import type { ClockReading, Logger, Metrics } from '@dragonflylever/runtime'

import type { LeaderView } from '../duties/leaderElector.js'

/**
 * How long the planner may delay its answer to a report (long poll), in milliseconds. An answer permits the agent to extend
 * leases for a time counted from the report, so this also limits how old the permission is when it arrives.
 */
const REPORT_WAIT_MS = 700
/** Added to {@link REPORT_WAIT_MS} to get the timeout of a report, in milliseconds; covers a round trip between regions and a slow planner. */
const CALL_TIMEOUT_MARGIN_MS = 900
/** Delay before a change is reported, in milliseconds, so that changes in quick succession share one report. */
const CHANGE_REPORT_DELAY_MS = 10
const RETRY_DELAY_MS = 150

/** Dependencies of {@link PlannerLink}. */
export interface PlannerLinkDependencies {
  readonly peers: PeerRpc
  readonly agent: string
  readonly address: string
  /** Unique identifier of this start of the process; report numbers are compared only within one start. */
  readonly start: string
  readonly logger: Logger
  readonly metrics: Metrics
  readonly getPlanner: () => LeaderView | undefined
  readonly collectReports: () => CollectedReports
  /** Applies the orders in an answer, which the planner made at `answeredSince` or later. */
  readonly applyOrders: (orders: readonly WorkerOrdersMessage[], epoch: number, collected: CollectedReports, answeredSince: ClockReading) => void
}

/** What an answer to the report on a worker refers to. */
export interface ReportBase {
  /** Estimated clock of the worker when the report was made, in milliseconds. */
  readonly clockMs: number
  /** Number of the report among those on this worker. */
  readonly number: number
}

/** Reports of all workers, and the bases of the answers to them, by worker id. */
export interface CollectedReports {
  readonly reports: readonly WorkerReport[]
  readonly bases: ReadonlyMap<string, ReportBase>
}

export class PlannerLink {
  private readonly _dependencies: PlannerLinkDependencies
  private _reportNumber = 0
  private _epoch = 0
  private _timer: NodeJS.Timeout | undefined
  private _isClosed = false
  private _isUnavailable = false

  constructor (dependencies: PlannerLinkDependencies) {
    this._dependencies = dependencies
    this._scheduleReport(0)
  }

  /** Sends a report because of a change, without waiting for the planner's answer to an earlier report. */
  reportChange (): void {
    this._scheduleReport(CHANGE_REPORT_DELAY_MS)
  }

  /** Sends a report to the new planner immediately. */
  onPlannerChange (): void {
    this._scheduleReport(0)
  }

  close (): void {
    this._isClosed = true
    clearTimeout(this._timer)
  }

  private _scheduleReport (delayMs: number): void {
    if (this._isClosed) return
    clearTimeout(this._timer)
    this._timer = setTimeout(() => { void this._sendReport() }, delayMs)
  }

  private async _sendReport (): Promise<void> {
    const planner = this._dependencies.getPlanner()
    if (planner === undefined) return this._scheduleReport(RETRY_DELAY_MS)
    const number = ++this._reportNumber
    const reportedAt = readClocks()
    const collected = this._dependencies.collectReports()
    const { agent, address, start, peers } = this._dependencies
    const params = { agent, address, start, number, waitMs: REPORT_WAIT_MS, reports: collected.reports as never }
    const outcome = await peers.call(planner.address, 'workerReports', params, REPORT_WAIT_MS + CALL_TIMEOUT_MARGIN_MS)
    this._dependencies.metrics.time('report_ms', performance.now() - reportedAt.monotonicMs, { outcome: outcome.kind })
    if (this._isClosed) return
    const isAnswered = outcome.kind === 'ok' && outcome.value.epoch !== undefined
    if (outcome.kind === 'ok' && outcome.value.epoch !== undefined && outcome.value.epoch >= this._epoch) {
      this._epoch = outcome.value.epoch
      const { heldMs = 0 } = outcome.value
      const answeredSince = { monotonicMs: reportedAt.monotonicMs + heldMs, wallMs: reportedAt.wallMs + heldMs }
      this._dependencies.applyOrders(outcome.value.orders, outcome.value.epoch, collected, answeredSince)
    }
    this._recordAvailability(isAnswered, planner, outcome.kind === 'failed' ? outcome.message : 'the process is not the planner')
    if (number === this._reportNumber) this._scheduleReport(isAnswered ? 0 : RETRY_DELAY_MS)
  }

  private _recordAvailability (isAnswered: boolean, planner: LeaderView, message: string): void {
    if (this._isUnavailable !== isAnswered) return
    this._isUnavailable = !isAnswered
    if (isAnswered) this._dependencies.logger.info({ planner: planner.address, epoch: planner.epoch }, 'planner answers reports again')
    else this._dependencies.logger.warn({ planner: planner.address, epoch: planner.epoch, message }, 'planner does not answer reports; will retry')
  }
}
