/**
 * An agent's link to the planner: reports the state of the agent's workers about once a second and at each change, and applies the orders
 * in the answers.
 */
import type { PeerRpc, WorkerOrdersMessage } from '@dragonflylever/protocol'
import type { WorkerReport } from '@dragonflylever/core/graphs/index'
import { readClocks } from '@dragonflylever/runtime'
import type { ClockReading, Logger, Metrics } from '@dragonflylever/runtime'

import type { LeaderView } from '../duties/leaderElector.js'
import { ReportBatch } from './reportBatch.js'
import type { ReportSelection } from './reportBatch.js'

/**
 * How long the planner may delay its answer to a report (long poll), in milliseconds. An answer permits the agent to extend
 * leases for a time counted from the report, so this also limits how old the permission is when it arrives.
 */
const REPORT_WAIT_MS = 700
/** Added to {@link REPORT_WAIT_MS} to get the timeout of a report, in milliseconds; covers a round trip between regions and a slow planner. */
const CALL_TIMEOUT_MARGIN_MS = 900
/** Delay before a change is reported, in milliseconds, so that changes in quick succession share one report. */
const CHANGE_REPORT_DELAY_MS = 10
/** Size of the reports of an agent's calls to which changes are limited, in bytes per millisecond, so that large reports don't occupy the planner. */
const CHANGE_REPORT_BYTES_PER_MS = 2_000
const RETRY_DELAY_MS = 150
/** Delay before the workers that a report has left out are reported, in milliseconds. */
const REMAINDER_DELAY_MS = 20

/** Maximum number of workers that a line about a refused report names. */
const MAX_LOGGED_WORKERS = 8

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
  private readonly _batch = new ReportBatch()
  private _reportNumber = 0
  private _lastReportBytes = 0
  private _epoch = 0
  private _timer: NodeJS.Timeout | undefined
  /** When the next report is due, on the monotonic clock; infinite if none is scheduled. */
  private _dueAt = Infinity
  private _isClosed = false
  private _isUnavailable = false

  constructor (dependencies: PlannerLinkDependencies) {
    this._dependencies = dependencies
    this._scheduleReport(0)
  }

  /** Sends a report because of a change, without waiting for the planner's answer to an earlier report. */
  reportChange (): void {
    this._scheduleReport(Math.max(CHANGE_REPORT_DELAY_MS, this._lastReportBytes / CHANGE_REPORT_BYTES_PER_MS))
  }

  /** Sends a report to the new planner immediately. */
  onPlannerChange (): void {
    this._batch.clearRefusals()
    this._scheduleReport(0)
  }

  close (): void {
    this._isClosed = true
    clearTimeout(this._timer)
  }

  /** Sends a report after a delay, or when an earlier one is due: changes in quick succession don't postpone it. */
  private _scheduleReport (delayMs: number): void {
    const dueAt = performance.now() + delayMs
    if (this._isClosed || dueAt >= this._dueAt) return
    clearTimeout(this._timer)
    this._dueAt = dueAt
    this._timer = setTimeout(() => {
      this._dueAt = Infinity
      void this._sendReport()
    }, delayMs)
  }

  private async _sendReport (): Promise<void> {
    const planner = this._dependencies.getPlanner()
    if (planner === undefined) return this._scheduleReport(RETRY_DELAY_MS)
    const number = ++this._reportNumber
    const reportedAt = readClocks()
    const collected = this._dependencies.collectReports()
    const selection = this._batch.select(collected.reports)
    this._recordSelection(selection)
    const { agent, address, start, peers } = this._dependencies
    const params = { agent, address, start, number, waitMs: selection.leftOut === 0 ? REPORT_WAIT_MS : 0, reports: selection.reports as never }
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
    if (outcome.kind === 'failed' && outcome.isRefused === true) this._recordRefusal(selection, outcome.message)
    if (number === this._reportNumber) this._scheduleReport(chooseDelay(isAnswered, selection))
  }

  private _recordSelection ({ reports, bytes, leftOut, shortened }: ReportSelection): void {
    const { metrics, logger } = this._dependencies
    this._lastReportBytes = bytes
    metrics.gauge('report_bytes', bytes)
    metrics.gauge('report_workers_left_out', leftOut)
    if (shortened === 0) return
    metrics.count('reports_shortened', shortened)
    logger.warn({ workers: reports.length, bytes, shortened }, 'the lists of a worker exceed a report; reporting a part of them')
  }

  /** Sends less in the next calls, as the planner would refuse the same call again. */
  private _recordRefusal ({ reports, bytes, leftOut }: ReportSelection, message: string): void {
    const { metrics, logger } = this._dependencies
    metrics.count('reports_refused')
    const maxBytes = this._batch.recordRefusal()
    logger.error({ workers: reports.map(({ key }) => key.id).slice(0, MAX_LOGGED_WORKERS), bytes, leftOut, maxBytes, message }, 'planner refused a report; reporting fewer workers in a call')
  }

  private _recordAvailability (isAnswered: boolean, planner: LeaderView, message: string): void {
    if (this._isUnavailable !== isAnswered) return
    this._isUnavailable = !isAnswered
    if (isAnswered) this._dependencies.logger.info({ planner: planner.address, epoch: planner.epoch }, 'planner answers reports again')
    else this._dependencies.logger.warn({ planner: planner.address, epoch: planner.epoch, message }, 'planner does not answer reports; will retry')
  }
}

/** Returns the delay of the report after one that was or wasn't answered, in milliseconds. */
function chooseDelay (isAnswered: boolean, { leftOut }: ReportSelection): number {
  if (!isAnswered) return RETRY_DELAY_MS
  return leftOut === 0 ? 0 : REMAINDER_DELAY_MS
}
