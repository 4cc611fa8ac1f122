/**
 * Controls one incarnation of a worker: carries out the planner's orders, extends the worker's lease as far as the planner's
 * answers permit, and tracks running and ended runs. It makes no scheduling decisions.
 */
import type { HoldResult, RunOutcome, RunWorker } from '@dragonflylever/adapters'
import type { CrashListing, EndListing, RunListing, RunName, WorkerOrders, WorkerReport } from '@dragonflylever/core/graphs/index'
import { MAX_JSON_CHARACTER_BYTES } from '@dragonflylever/protocol'
import type { Logger } from '@dragonflylever/runtime'

import { OrderCalls } from './orderCalls.js'
import { OrderTable } from './orderTable.js'
import type { ReportBase } from './plannerLink.js'
import { mergeRunEnds } from './runEnds.js'
import { RunSpeedMeter } from './runSpeedMeter.js'
import type { StartValidity } from './startValidity.js'
import { isSameCapacity } from './workerAnnouncement.js'
import type { WorkerAnnouncement } from './workerAnnouncement.js'
import { WorkerClock } from './workerClock.js'

export type { WorkerAnnouncement } from './workerAnnouncement.js'

/** Dependencies of {@link WorkerController}. */
export interface WorkerControllerDependencies {
  readonly worker: RunWorker
  readonly region: string
  readonly logger: Logger
  /** Lease time that an answer of the planner permits, counted from the time of the answered report, in milliseconds of the worker's clock. */
  readonly runLeaseMs: number
  /** Highest epoch of a planner that the agent knows. A worker refuses polls with a lower epoch than it has seen, also from an agent that has restarted. */
  readonly epoch: number
  /** Lists recent crashes of earlier incarnations at the worker's address. */
  readonly listRecentCrashes: () => readonly CrashListing[]
  /** Called after a change that should be reported to the planner at once. */
  readonly onChange: () => void
  /** Called when another incarnation of the worker answered a call, which means that the controlled incarnation has ended. */
  readonly onOtherIncarnation: () => void
}

/** How long the worker may wait for a run to end before it answers a poll, in milliseconds; short, since only a new poll extends the lease. */
const POLL_WAIT_MS = 1_000
/** Delay between polls, in milliseconds, while an order is pending or the worker lists run ends that the planner has not acknowledged. */
const UNACKNOWLEDGED_POLL_DELAY_MS = 200
/** Delay after a poll that failed, in milliseconds. */
const POLL_RETRY_MS = 250
/** Delay after a poll that failed, in milliseconds, once {@link QUICK_POLLS} calls to a worker that has never answered have failed; there may be many such workers. */
const UNKNOWN_POLL_RETRY_MS = 1_000
const QUICK_POLLS = 8
/** Number of consecutive calls without an answer after which the worker counts as unreachable. */
const UNREACHABLE_AFTER_CALLS = 2
/**
 * A run that started at most this long before the worker stopped answering may have crashed it, in milliseconds. The agent notices a crash at once when
 * the connection of its poll breaks, or at its next call.
 */
const CRASH_SUSPECT_MS = 1_000
/** Maximum size of a checkpoint in JSON, in bytes; those of real workers have some dozen. */
const MAX_CHECKPOINT_BYTES = 1_024

export class WorkerController {
  private readonly _dependencies: WorkerControllerDependencies
  private readonly _orders = new OrderTable()
  private readonly _calls: OrderCalls
  private readonly _speedMeter = new RunSpeedMeter()
  private readonly _clock: WorkerClock
  private _announcement: WorkerAnnouncement
  private _epoch: number
  private _lastAcknowledgedEnd = 0
  private _running: readonly RunListing[] = []
  private _ended: readonly EndListing[] = []
  private _hasMoreEnds = false
  private _hasLongCheckpoints = false
  private _listNumber = 0
  private _pollCount = 0
  private _reportNumber = 0
  /** Number of the last report that said that the worker doesn't answer. */
  private _unreachableReportNumber = 0
  private _failedCalls = 0
  /**
   * Monotonic time of the first failed poll or connection since the last answered poll; undefined if there was none. From then on the worker may have
   * restarted under the same id.
   */
  private _unconfirmedSince: number | undefined
  private _isLeaving = false
  private _isOver = false
  private _isClosed = false
  private _hasAnswered = false
  private _endPause: (() => void) | undefined

  constructor (announcement: WorkerAnnouncement, dependencies: WorkerControllerDependencies) {
    this._announcement = announcement
    this._dependencies = dependencies
    this._epoch = dependencies.epoch
    this._clock = new WorkerClock(announcement.clockMs, dependencies.runLeaseMs, performance.now())
    this._calls = new OrderCalls({
      worker: dependencies.worker,
      workerId: announcement.id,
      orders: this._orders,
      clock: this._clock,
      logger: dependencies.logger,
      getEpoch: () => this._epoch,
      getPollCount: () => this._pollCount,
      isUnconfirmed: () => this._unconfirmedSince !== undefined,
      onOutcome: outcome => this._recordReachability(outcome),
      onStartEnded: () => {
        this._endPause?.()
        dependencies.onChange()
        return undefined
      },
      onStopped: () => this._endPause?.(),
      onOtherIncarnation: dependencies.onOtherIncarnation
    })
    void this._pollWorker()
  }

  get announcement (): WorkerAnnouncement {
    return this._announcement
  }

  /** Applies a heartbeat of this incarnation; ignored if a later heartbeat has already arrived. */
  applyHeartbeat (announcement: WorkerAnnouncement): void {
    if (announcement.sequence <= this._announcement.sequence) return
    const known = this._announcement
    this._announcement = announcement
    const hasCapacityChanged = !isSameCapacity(known.capacity, announcement.capacity)
    if (hasCapacityChanged) this._dependencies.logger.info({ worker: announcement.id, before: known.capacity, after: announcement.capacity }, 'capacity of a worker changed')
    if (hasCapacityChanged || announcement.isDraining !== known.isDraining) this._dependencies.onChange()
  }

  /** True when this incarnation of the worker has certainly ended. */
  get isOver (): boolean {
    return this._isOver
  }

  /** True while the worker answers calls. */
  get isReachable (): boolean {
    return this._failedCalls < UNREACHABLE_AFTER_CALLS
  }

  /** True once the worker has answered a call, by whatever answer. Whoever can send heartbeats can announce workers that never do. */
  get hasAnswered (): boolean {
    return this._hasAnswered
  }

  /** True if the worker answered the last poll as this incarnation. */
  get isAnswering (): boolean {
    return !this._isOver && this._listNumber > 0 && this._unconfirmedSince === undefined
  }

  /** Records that the worker announced its shutdown. The incarnation counts as ended once connections to its address are refused. */
  markLeaving (): void {
    this._isLeaving = true
  }

  /** Marks this incarnation as ended and stops polling the worker. */
  markEnded (): void {
    this._isOver = true
    this._isClosed = true
    this._calls.close()
  }

  /**
   * Returns the estimated clock of the worker, in milliseconds. It is read when a report is made, since the lease that the planner's
   * answer permits is counted from that time.
   */
  readClock (): number {
    return this._clock.estimateClock(performance.now())
  }

  /**
   * Lists the runs that may have caused the end of this incarnation: those that had just started when the worker stopped answering. Empty if the worker
   * had announced its end.
   */
  listCrashSuspects (): RunName[] {
    if (this._isOver || this._isLeaving || this._announcement.isDraining) return []
    return this._orders.listStartedSince((this._unconfirmedSince ?? performance.now()) - CRASH_SUSPECT_MS)
  }

  /** Number of the last report that was made. */
  get reportNumber (): number {
    return this._reportNumber
  }

  /** Creates the worker's report for the planner. */
  makeReport (): WorkerReport {
    this._reportNumber++
    if (!this.isReachable) this._unreachableReportNumber = this._reportNumber
    const { id, born, address, service, rack, labels, version, failureDomain, capacity, isDraining, drainLeftMs, coldLeftMs } = this._announcement
    return {
      key: { id, born },
      address,
      service,
      rack,
      labels,
      ...(version === undefined ? {} : { version }),
      failureDomain,
      region: this._dependencies.region,
      capacity,
      isDraining,
      drainLeftMs,
      coldLeftMs,
      isOver: this._isOver,
      isReachable: this.isReachable,
      leaseLeftMs: this._clock.computeMaxLeaseLeft(performance.now()),
      listNumber: this._listNumber,
      running: this._running,
      ended: this._ended.filter(end => end.number > this._lastAcknowledgedEnd),
      hasMoreEnds: this._hasMoreEnds,
      orders: this._orders.list(performance.now(), this._running),
      crashes: this._dependencies.listRecentCrashes()
    }
  }

  /** Records the epoch of a planner that has answered a report of the agent. */
  recordEpoch (epoch: number): void {
    this._epoch = Math.max(this._epoch, epoch)
  }

  /**
   * Applies the orders in the planner's answer to a report. If a later report has said that the worker doesn't answer, the answer extends no lease and starts nothing: the planner gives the
   * worker's runs up after the lease that the later report named, and repeats the starts that it still wants. Starts are sent only while `validity` lasts.
   */
  applyOrders (orders: WorkerOrders, epoch: number, base: ReportBase, validity?: StartValidity): void {
    if (epoch < this._epoch || this._isClosed) return
    this._epoch = epoch
    this._lastAcknowledgedEnd = Math.max(this._lastAcknowledgedEnd, orders.seen)
    const isOutdated = base.number < this._unreachableReportNumber
    if (orders.mayExtend && !isOutdated) this._clock.permitLease(base.clockMs + this._dependencies.runLeaseMs)
    for (const stop of orders.stops) if (this._orders.beginStop(stop.task, stop.run)) this._calls.stop(stop.task, stop.run)
    if (!isOutdated) for (const start of orders.starts) if (this._orders.beginStart(start.task, start.run)) this._calls.start(start, epoch, validity)
    if (isOutdated && orders.starts.length > 0) {
      this._dependencies.logger.info({ worker: this._announcement.id, starts: orders.starts.length, report: base.number, unreachableReport: this._unreachableReportNumber }, 'ignored starts for a report that was made before the worker was reported as not answering')
    }
    for (const { task, run, percent } of orders.paces) this._calls.pace(task, run, percent, epoch)
  }

  close (): void {
    this._isClosed = true
    this._calls.close()
    this._endPause?.()
    this._dependencies.worker.close()
  }

  /**
   * Polls the worker until this controller is closed. While runs are in progress or orders are pending, each poll extends the worker's lease
   * as far as the planner permits.
   */
  private async _pollWorker (): Promise<void> {
    while (!this._isClosed) {
      const pollNumber = ++this._pollCount
      const hasUnacknowledged = this._ended.some(end => end.number > this._lastAcknowledgedEnd)
      const leaseUntil = this._running.length > 0 || this._orders.hasUnconfirmedOrder() ? this._clock.permittedUntil : undefined
      const waitMs = this._listNumber === 0 || hasUnacknowledged || this._orders.hasUnconfirmedOrder() ? 0 : POLL_WAIT_MS
      const outcome = await this._dependencies.worker.hold({ epoch: this._epoch, seen: this._lastAcknowledgedEnd, leaseUntil, waitMs })
      if (this._isClosed) return
      if (leaseUntil !== undefined && outcome.kind !== 'notSent') this._clock.recordLeaseExpiry(leaseUntil)
      if (outcome.kind === 'otherIncarnation' || (outcome.kind === 'ok' && outcome.born !== this._announcement.born)) return this._dependencies.onOtherIncarnation()
      this._recordReachability(outcome)
      if (outcome.kind === 'notSent' && outcome.isRefused && this._isLeaving) {
        this.markEnded()
        return this._dependencies.onChange()
      }
      this._unconfirmedSince = outcome.kind === 'ok' ? undefined : this._unconfirmedSince ?? performance.now()
      const hasChanged = outcome.kind === 'ok' && this._applyPollResult(outcome, pollNumber)
      if (outcome.kind !== 'ok') await this._waitBeforePoll(this._hasAnswered || this._failedCalls < QUICK_POLLS ? POLL_RETRY_MS : UNKNOWN_POLL_RETRY_MS)
      else if (!hasChanged && waitMs === 0) await this._waitBeforePoll(UNACKNOWLEDGED_POLL_DELAY_MS)
    }
  }

  /** Applies the answer to a poll. Returns true if the answer lists a run end that was not known before. */
  private _applyPollResult (list: HoldResult & { readonly clockMs: number }, pollNumber: number): boolean {
    const lastEnd = this._ended.at(-1)?.number ?? 0
    const hasNewEnd = (list.ended.at(-1)?.number ?? 0) > lastEnd
    const hasNewRun = list.running.length !== this._running.length
    const isFirstList = this._listNumber === 0
    this._running = this._speedMeter.measure(this._cutCheckpoints(list.running), list.clockMs)
    this._ended = mergeRunEnds(this._ended, this._cutCheckpoints(list.ended), this._lastAcknowledgedEnd)
    this._listNumber = pollNumber
    this._recordMoreEnds(list.hasMoreEnds === true)
    // A run whose end is not listed yet is not listed as running either.
    const hasBarred = !this._hasMoreEnds && this._orders.recordConfirmedStops(list.running, pollNumber)
    this._orders.dropEndedRuns(list.ended)
    if (isFirstList || hasNewEnd || hasNewRun || hasBarred) this._dependencies.onChange()
    return hasNewEnd
  }

  /** Leaves out checkpoints that are too long to be stored for each task; a run that has none starts from the beginning. */
  private _cutCheckpoints<T extends { readonly task: string, readonly checkpoint: string }> (listings: readonly T[]): readonly T[] {
    const tooLong = listings.find(({ checkpoint }) => isTooLong(checkpoint))
    if (tooLong === undefined) return listings
    if (!this._hasLongCheckpoints) this._dependencies.logger.warn({ worker: this._announcement.id, task: tooLong.task, length: tooLong.checkpoint.length, maxBytes: MAX_CHECKPOINT_BYTES }, 'worker lists a checkpoint that is too long to be stored; going on without it')
    this._hasLongCheckpoints = true
    return listings.map(listing => isTooLong(listing.checkpoint) ? { ...listing, checkpoint: '' } : listing)
  }

  private _recordMoreEnds (hasMoreEnds: boolean): void {
    if (hasMoreEnds !== this._hasMoreEnds) this._dependencies.logger.info({ worker: this._announcement.id, ended: this._ended.length, acknowledged: this._lastAcknowledgedEnd }, hasMoreEnds ? 'worker lists a part of its ends; unlisted runs may have ended' : 'worker lists all its ends again')
    this._hasMoreEnds = hasMoreEnds
  }

  private _recordReachability (outcome: RunOutcome): void {
    const isAnswered = outcome.kind === 'ok' || outcome.kind === 'refused' || outcome.kind === 'otherIncarnation'
    const wasReachable = this.isReachable
    this._hasAnswered ||= isAnswered
    this._failedCalls = isAnswered ? 0 : this._failedCalls + 1
    if (outcome.kind === 'notSent') this._unconfirmedSince ??= performance.now()
    const { isReachable } = this
    if (wasReachable !== isReachable) {
      this._dependencies.logger[isReachable ? 'info' : 'warn']({ worker: this._announcement.id, failedCalls: this._failedCalls }, isReachable ? 'worker answers again' : 'worker does not answer')
      this._dependencies.onChange()
    }
    if ((outcome.kind === 'ok' || outcome.kind === 'refused') && outcome.clockMs !== undefined) this._clock.applyReading(outcome.clockMs, performance.now())
  }

  private async _waitBeforePoll (ms: number): Promise<void> {
    await new Promise<void>(resolve => {
      const timer = setTimeout(resolve, ms)
      this._endPause = () => {
        clearTimeout(timer)
        resolve()
      }
    })
    this._endPause = undefined
  }
}

function isTooLong (checkpoint: string): boolean {
  return checkpoint.length * MAX_JSON_CHARACTER_BYTES > MAX_CHECKPOINT_BYTES && Buffer.byteLength(JSON.stringify(checkpoint)) > MAX_CHECKPOINT_BYTES
}
