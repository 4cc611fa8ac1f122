/**
 * The calls that carry out the planner's orders at one worker: sends each order until its outcome is known, a limited number at a time.
 */
import type { RunOutcome, RunWorker } from '@dragonflylever/adapters'
import { OrderStatus, StartRefusal } from '@dragonflylever/core/graphs/index'
import type { StartOrder } from '@dragonflylever/core/graphs/index'
import type { Logger } from '@dragonflylever/runtime'

import { CallQueue } from './callQueue.js'
import type { OrderTable } from './orderTable.js'
import type { StartValidity } from './startValidity.js'
import type { WorkerClock } from './workerClock.js'

/** Dependencies of {@link OrderCalls}. */
export interface OrderCallsDependencies {
  readonly worker: RunWorker
  readonly workerId: string
  readonly orders: OrderTable
  readonly clock: WorkerClock
  readonly logger: Logger
  /** Returns the highest epoch of a planner that the agent knows. */
  readonly getEpoch: () => number
  /** Returns the number of polls that were sent to the worker. */
  readonly getPollCount: () => number
  /** True while the worker may have restarted under its id, so that nothing may be started there. */
  readonly isUnconfirmed: () => boolean
  readonly onOutcome: (outcome: RunOutcome) => void
  /** Called when nothing more is sent for a start. */
  readonly onStartEnded: () => undefined
  /** Called when the worker has confirmed a stop. */
  readonly onStopped: () => void
  readonly onOtherIncarnation: () => void
}

/** Maximum number of starts, and of stops and throttles, that a worker is sent at the same time. */
const MAX_START_CALLS = 8
const MAX_STOP_CALLS = 6
/** Delay before an unanswered start or stop is retried, in milliseconds; after {@link QUICK_RETRIES} attempts it doubles each time. */
const ORDER_RETRY_MS = 100
const QUICK_RETRIES = 4
const MAX_ORDER_RETRY_MS = 1_600

/** What became of the attempts to carry an order out. */
interface OrderAttempts {
  count: number
  /** True if the worker may still carry out an attempt that it has not answered. */
  wasUnanswered: boolean
}

export class OrderCalls {
  private readonly _dependencies: OrderCallsDependencies
  private readonly _starts = new CallQueue(MAX_START_CALLS)
  /** Calls that stop or throttle runs; they don't wait for starts. */
  private readonly _stops = new CallQueue(MAX_STOP_CALLS)

  constructor (dependencies: OrderCallsDependencies) {
    this._dependencies = dependencies
  }

  /** Throttles a run; not repeated. */
  pace (task: string, run: number, percent: number, epoch: number): void {
    this._stops.add(async () => {
      await this._dependencies.worker.pace(task, run, percent, epoch)
      return undefined
    })
  }

  close (): void {
    this._starts.close()
    this._stops.close()
  }

  /** Sends the start of a run until the worker answers it, or the order is over. */
  start (start: StartOrder, epoch: number, validity: StartValidity | undefined): void {
    const attempts: OrderAttempts = { count: 0, wasUnanswered: false }
    this._starts.add(() => this._tryStart(start, epoch, validity, attempts))
  }

  /** Makes one attempt to start a run. Resolves with the delay of the next one in milliseconds, or with undefined if none is needed. */
  private async _tryStart (start: StartOrder, epoch: number, validity: StartValidity | undefined, attempts: OrderAttempts): Promise<number | undefined> {
    const { task, run } = start
    if (!this._dependencies.orders.isStarting(task, run)) return this._dependencies.onStartEnded()
    if (validity?.isOver === true) {
      this._dependencies.logger.warn({ task, run, worker: this._dependencies.workerId, ageMs: Math.round(validity.ageMs), wasUnanswered: attempts.wasUnanswered }, 'start of a run is too old to be sent')
      this._settleRefusedStart(task, run, StartRefusal.expired, attempts.wasUnanswered)
      return this._dependencies.onStartEnded()
    }
    // A worker accepts a start that was meant for an earlier incarnation with its id; only the answer to a poll names the incarnation.
    if (this._dependencies.isUnconfirmed()) return ORDER_RETRY_MS
    const leaseUntil = this._dependencies.clock.permittedUntil
    const sentAt = performance.now()
    const outcome = await this._dependencies.worker.start({ ...start, epoch, leaseUntil })
    if (outcome.kind === 'ok' || outcome.kind === 'lost') this._dependencies.orders.recordStartSent(task, run, sentAt, outcome.kind === 'ok')
    this._dependencies.onOutcome(outcome)
    if (outcome.kind === 'ok') {
      this._dependencies.clock.recordLeaseExpiry(leaseUntil)
      this._dependencies.orders.recordStartResult(task, run, OrderStatus.accepted)
      return this._dependencies.onStartEnded()
    }
    if (outcome.kind === 'refused') {
      this._dependencies.logger.warn({ task, run, worker: this._dependencies.workerId, reason: outcome.reason, wasUnanswered: attempts.wasUnanswered }, 'worker refused to start a run')
      this._settleRefusedStart(task, run, outcome.reason, attempts.wasUnanswered)
      return this._dependencies.onStartEnded()
    }
    if (outcome.kind === 'otherIncarnation') {
      this._dependencies.onOtherIncarnation()
      return undefined
    }
    if (outcome.kind === 'lost') {
      attempts.wasUnanswered = true
      this._dependencies.clock.recordLeaseExpiry(leaseUntil)
    }
    this._dependencies.logger.warn({ task, run, worker: this._dependencies.workerId, message: outcome.message }, 'worker did not answer the start of a run; will retry')
    return computeRetryDelay(++attempts.count)
  }

  /**
   * Settles a start that was refused. After an unanswered attempt, the worker may still carry that attempt out. If it refuses a run as `old`, it knew the
   * run before and will still report its end. In both cases, only a stop followed by a poll shows that the run has ended.
   */
  private _settleRefusedStart (task: string, run: number, reason: StartRefusal, wasUnanswered: boolean): void {
    if (!wasUnanswered && reason !== StartRefusal.old) this._dependencies.orders.recordStartResult(task, run, OrderStatus.refused, reason)
    else if (this._dependencies.orders.beginStop(task, run, reason)) this.stop(task, run)
  }

  /** Sends the stop of a run until the worker confirms it. */
  stop (task: string, run: number): void {
    const attempts: OrderAttempts = { count: 0, wasUnanswered: false }
    this._stops.add(() => this._tryStop(task, run, attempts))
  }

  /** Makes one attempt to stop a run; see {@link _tryStart}. */
  private async _tryStop (task: string, run: number, attempts: OrderAttempts): Promise<number | undefined> {
    const outcome = await this._dependencies.worker.stop(task, run, this._dependencies.getEpoch())
    this._dependencies.onOutcome(outcome)
    if (outcome.kind === 'otherIncarnation') {
      this._dependencies.onOtherIncarnation()
      return undefined
    }
    if (outcome.kind !== 'ok') {
      this._dependencies.logger.warn({ task, run, worker: this._dependencies.workerId, outcome }, 'worker did not confirm the stop of a run; will retry')
      return computeRetryDelay(++attempts.count)
    }
    this._dependencies.orders.recordStopAnswer(task, run, this._dependencies.getPollCount())
    this._dependencies.onStopped()
    return undefined
  }
}

/** Returns the delay before the next attempt after `count` attempts without an answer, in milliseconds. */
function computeRetryDelay (count: number): number {
  return Math.min(MAX_ORDER_RETRY_MS, ORDER_RETRY_MS * 2 ** Math.max(0, count - QUICK_RETRIES))
}
