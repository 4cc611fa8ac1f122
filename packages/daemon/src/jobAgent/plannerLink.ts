/**
 * An agent's link to the planner: tells all about its workers about once a second and at each change, and hands the answers on.
 */
import type { PeerRpc, WorkerOrdersMessage } from '@dragonflylever/protocol'
import type { WorkerReport } from '@dragonflylever/core/graphs/index'
import type { Logger, Metrics } from '@dragonflylever/runtime'

import type { DutyView } from '../duties/dutyHolder.js'

/** How long the planner may hold a report back, in milliseconds; it bounds the age of an answer's permission. */
const WAIT_MS = 700
/** Added to the wait for the limit of a call: a round trip between regions and a slow planner. */
const CALL_MARGIN_MS = 900
/** Least distance of reports that bring news, in milliseconds. */
const NEWS_PAUSE_MS = 10
const RETRY_PAUSE_MS = 150

/** What a link works with. */
export interface PlannerLinkParts {
  readonly peers: PeerRpc
  readonly agent: string
  readonly address: string
  /** Unique per start of the process. */
  readonly start: string
  readonly logger: Logger
  readonly metrics: Metrics
  readonly getPlanner: () => DutyView | undefined
  readonly collect: () => CollectedReports
  readonly accept: (orders: readonly WorkerOrdersMessage[], epoch: number, collected: CollectedReports) => void
}

/** Reports of all workers, with each worker's clock when they were made. */
export interface CollectedReports {
  readonly reports: readonly WorkerReport[]
  readonly clocks: ReadonlyMap<string, number>
}

export class PlannerLink {
  private readonly _parts: PlannerLinkParts
  private _number = 0
  private _epoch = 0
  private _timer: NodeJS.Timeout | undefined
  private _isClosed = false
  private _isAway = false

  constructor (parts: PlannerLinkParts) {
    this._parts = parts
    this._schedule(0)
  }

  /** Reports at once, beside a report that is held back. */
  notify (): void {
    this._schedule(NEWS_PAUSE_MS)
  }

  /** Takes note of another planner. */
  onPlannerChange (): void {
    this._schedule(0)
  }

  close (): void {
    this._isClosed = true
    clearTimeout(this._timer)
  }

  private _schedule (delayMs: number): void {
    if (this._isClosed) return
    clearTimeout(this._timer)
    this._timer = setTimeout(() => { void this._report() }, delayMs)
  }

  private async _report (): Promise<void> {
    const planner = this._parts.getPlanner()
    if (planner === undefined) return this._schedule(RETRY_PAUSE_MS)
    const number = ++this._number
    const collected = this._parts.collect()
    const { agent, address, start, peers } = this._parts
    const startedAt = performance.now()
    const params = { agent, address, start, number, waitMs: WAIT_MS, reports: collected.reports as never }
    const outcome = await peers.call(planner.address, 'workerReports', params, WAIT_MS + CALL_MARGIN_MS)
    this._parts.metrics.time('report_ms', performance.now() - startedAt, { outcome: outcome.kind })
    if (this._isClosed) return
    const isAnswered = outcome.kind === 'ok' && outcome.value.epoch !== undefined
    if (outcome.kind === 'ok' && outcome.value.epoch !== undefined && outcome.value.epoch >= this._epoch) {
      this._epoch = outcome.value.epoch
      this._parts.accept(outcome.value.orders, outcome.value.epoch, collected)
    }
    this._noteHealth(isAnswered, planner, outcome.kind === 'failed' ? outcome.message : 'it is not the planner')
    if (number === this._number) this._schedule(isAnswered ? 0 : RETRY_PAUSE_MS)
  }

  private _noteHealth (isAnswered: boolean, planner: DutyView, message: string): void {
    if (this._isAway !== isAnswered) return
    this._isAway = !isAnswered
    if (isAnswered) this._parts.logger.info({ planner: planner.address, epoch: planner.epoch }, 'planner answers')
    else this._parts.logger.warn({ planner: planner.address, epoch: planner.epoch, message }, 'planner does not answer')
  }
}
