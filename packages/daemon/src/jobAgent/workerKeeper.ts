/**
 * Keeps one life of a worker: carries out its orders, extends its lease as far as the planner's answers permit, and lists what
 * runs and what ended there. It decides nothing about work.
 */
import type { HoldResult, RunOutcome, RunWorker } from '@dragonflylever/adapters'
import { OrderStatus, StartRefusal } from '@dragonflylever/core/graphs/index'
import type { EndListing, RunListing, StartOrder, WorkerOrders, WorkerReport } from '@dragonflylever/core/graphs/index'
import type { Logger } from '@dragonflylever/runtime'

import { OrderTable } from './orderTable.js'
import { WorkerClock } from './workerClock.js'

/** What a worker says of itself in a heartbeat. */
export interface WorkerAnnouncement {
  readonly id: string
  readonly born: number
  readonly address: string
  readonly service: string
  readonly rack: string
  readonly labels: readonly string[]
  readonly failureDomain: string
  readonly capacity: { readonly cpuMillis: number, readonly memoryMb: number, readonly accelerators: number }
  readonly isDraining: boolean
  readonly drainLeftMs: number | undefined
  readonly clockMs: number
  /** Grows with each heartbeat of one life. */
  readonly sequence: number
}

/** What a keeper works with. */
export interface WorkerKeeperParts {
  readonly worker: RunWorker
  readonly region: string
  readonly logger: Logger
  /** Longest lease that an answer of the planner permits, in milliseconds of the worker's clock. */
  readonly authorityMs: number
  /** Called when something changed that the planner should know at once. */
  readonly onChange: () => void
  /** Called when another life of the worker answered. */
  readonly onOtherLife: () => void
}

/** How long the worker may hold a list back while it waits for an end; short enough to extend the lease often. */
const HOLD_WAIT_MS = 1_000
/** Pause between lists while ends are listed that the planner has not stored yet. */
const UNSEEN_PAUSE_MS = 200
/** Pause after a list that got no answer. */
const RETRY_PAUSE_MS = 250
/** Calls in a row without an answer from which on the worker counts as unreachable. */
const UNREACHABLE_CALLS = 2
/** Pause before a start or stop that got no answer is repeated. */
const REPEAT_MS = 100

export class WorkerKeeper {
  private readonly _parts: WorkerKeeperParts
  private readonly _orders = new OrderTable()
  private readonly _clock = new WorkerClock()
  private _announcement: WorkerAnnouncement
  private _epoch = 0
  private _seen = 0
  private _running: readonly RunListing[] = []
  private _ended: readonly EndListing[] = []
  private _listNumber = 0
  private _holdCount = 0
  private _failedCalls = 0
  private _isLeaving = false
  private _isOver = false
  private _isClosed = false
  private _wake: (() => void) | undefined

  constructor (announcement: WorkerAnnouncement, parts: WorkerKeeperParts) {
    this._announcement = announcement
    this._parts = parts
    this._clock.note(announcement.clockMs, performance.now())
    void this._hold()
  }

  get announcement (): WorkerAnnouncement {
    return this._announcement
  }

  /** Takes a later heartbeat over; an earlier one that was delayed changes nothing. */
  update (announcement: WorkerAnnouncement): void {
    if (announcement.sequence <= this._announcement.sequence) return
    const isNews = announcement.isDraining !== this._announcement.isDraining
    this._announcement = announcement
    if (isNews) this._parts.onChange()
  }

  /** True when this life of the worker has surely ended. */
  get isOver (): boolean {
    return this._isOver
  }

  /** Notes that the worker said that it ends; it is over once nobody listens at its address. */
  noteLeave (): void {
    this._isLeaving = true
  }

  /** Notes that another life of the worker was heard of. */
  noteOver (): void {
    this._isOver = true
    this._isClosed = true
  }

  /** Reads the worker's clock before a report is sent; the answer's permission counts from there. */
  readClock (): number {
    return this._clock.estimate(performance.now())
  }

  /** Says all that is known of the worker. */
  describe (): WorkerReport {
    const { id, born, address, service, rack, labels, failureDomain, capacity, isDraining, drainLeftMs } = this._announcement
    return {
      key: { id, born },
      address,
      service,
      rack,
      labels,
      failureDomain,
      region: this._parts.region,
      capacity,
      isDraining,
      drainLeftMs,
      isOver: this._isOver,
      isReachable: this._failedCalls < UNREACHABLE_CALLS,
      leaseLeftMs: this._clock.computeLeaseLeft(performance.now()),
      listNumber: this._listNumber,
      running: this._running,
      ended: this._ended.filter(end => end.number > this._seen),
      orders: this._orders.list(performance.now())
    }
  }

  /** Takes the planner's answer over; `clockMs` is the worker's clock when the report was sent. */
  accept (orders: WorkerOrders, epoch: number, clockMs: number): void {
    if (epoch < this._epoch || this._isClosed) return
    this._epoch = epoch
    this._seen = Math.max(this._seen, orders.seen)
    if (orders.mayExtend) this._clock.permit(clockMs + this._parts.authorityMs)
    for (const stop of orders.stops) if (this._orders.beginStop(stop.task, stop.run)) void this._stop(stop.task, stop.run)
    for (const start of orders.starts) if (this._orders.beginStart(start.task, start.run)) void this._start(start, epoch)
    for (const pace of orders.paces) void this._parts.worker.pace(pace.task, pace.run, pace.percent, epoch)
  }

  close (): void {
    this._isClosed = true
    this._wake?.()
    this._parts.worker.close()
  }

  private async _start (start: StartOrder, epoch: number): Promise<void> {
    const { task, run } = start
    let wasUnanswered = false
    while (!this._isClosed && this._orders.isStarting(task, run)) {
      const leaseUntil = this._clock.permittedUntil
      const outcome = await this._parts.worker.start({ ...start, epoch, leaseUntil })
      this._noteClock(outcome)
      if (outcome.kind === 'ok') {
        this._clock.noteLease(leaseUntil)
        this._orders.set(task, run, OrderStatus.accepted)
        break
      }
      if (outcome.kind === 'refused') {
        this._parts.logger.warn({ task, run, worker: this._announcement.id, reason: outcome.reason, wasUnanswered }, 'start refused')
        // An earlier try without an answer may still be carried out, and a run that was there has an end to tell. The list
        // that follows a stop settles both.
        if (wasUnanswered || outcome.reason === StartRefusal.old) this._beginStop(task, run, outcome.reason)
        else this._orders.set(task, run, OrderStatus.refused, outcome.reason)
        break
      }
      if (outcome.kind === 'otherLife') return this._parts.onOtherLife()
      if (outcome.kind === 'lost') {
        wasUnanswered = true
        this._clock.noteLease(leaseUntil)
      }
      this._parts.logger.warn({ task, run, worker: this._announcement.id, message: outcome.message }, 'start unanswered')
      await new Promise(resolve => setTimeout(resolve, REPEAT_MS))
    }
    this._wake?.()
    this._parts.onChange()
  }

  private _beginStop (task: string, run: number, refusal: string): void {
    if (this._orders.beginStop(task, run, refusal)) void this._stop(task, run)
  }

  private async _stop (task: string, run: number): Promise<void> {
    while (!this._isClosed) {
      const outcome = await this._parts.worker.stop(task, run, this._epoch)
      this._noteClock(outcome)
      if (outcome.kind === 'otherLife') return this._parts.onOtherLife()
      if (outcome.kind === 'ok') break
      this._parts.logger.warn({ task, run, worker: this._announcement.id, outcome }, 'stop unanswered')
      await new Promise(resolve => setTimeout(resolve, REPEAT_MS))
    }
    this._orders.noteStopAnswered(task, run, this._holdCount)
    this._wake?.()
  }

  /** Lists over and over; each call extends the lease as far as is permitted. */
  private async _hold (): Promise<void> {
    while (!this._isClosed) {
      const holdNumber = ++this._holdCount
      const hasUnseen = this._ended.some(end => end.number > this._seen)
      const leaseUntil = this._running.length > 0 || this._orders.hasOpen() ? this._clock.permittedUntil : undefined
      const waitMs = hasUnseen || this._orders.hasOpen() ? 0 : HOLD_WAIT_MS
      const outcome = await this._parts.worker.hold({ epoch: this._epoch, seen: this._seen, leaseUntil, waitMs })
      if (this._isClosed) return
      if (leaseUntil !== undefined && outcome.kind !== 'notSent') this._clock.noteLease(leaseUntil)
      this._noteClock(outcome)
      if (outcome.kind === 'otherLife') return this._parts.onOtherLife()
      if (outcome.kind === 'notSent' && outcome.isRefused && this._isLeaving) {
        this.noteOver()
        return this._parts.onChange()
      }
      const hasChanged = outcome.kind === 'ok' && this._takeList(outcome, holdNumber)
      if (outcome.kind !== 'ok') await this._pause(RETRY_PAUSE_MS)
      else if (!hasChanged && waitMs === 0) await this._pause(UNSEEN_PAUSE_MS)
    }
  }

  /** Takes a list over; returns whether it brought news. */
  private _takeList (list: HoldResult, holdNumber: number): boolean {
    if (list.born !== this._announcement.born) {
      this._parts.onOtherLife()
      return false
    }
    const lastEnd = this._ended.at(-1)?.number ?? 0
    const hasNewEnd = (list.ended.at(-1)?.number ?? 0) > lastEnd
    const hasNewRun = list.running.length !== this._running.length
    this._running = list.running
    this._ended = mergeEnds(this._ended, list.ended, this._seen)
    this._listNumber = holdNumber
    const hasBarred = this._orders.settleStops(list.running, holdNumber)
    this._orders.dropEnded(list.ended)
    if (hasNewEnd || hasNewRun || hasBarred) this._parts.onChange()
    return hasNewEnd
  }

  private _noteClock (outcome: RunOutcome): void {
    const isAnswered = outcome.kind === 'ok' || outcome.kind === 'refused' || outcome.kind === 'otherLife'
    const wasReachable = this._failedCalls < UNREACHABLE_CALLS
    this._failedCalls = isAnswered ? 0 : this._failedCalls + 1
    const isReachable = this._failedCalls < UNREACHABLE_CALLS
    if (wasReachable !== isReachable) {
      this._parts.logger[isReachable ? 'info' : 'warn']({ worker: this._announcement.id, failedCalls: this._failedCalls }, isReachable ? 'worker answers again' : 'worker does not answer')
      this._parts.onChange()
    }
    if ((outcome.kind === 'ok' || outcome.kind === 'refused') && outcome.clockMs !== undefined) this._clock.note(outcome.clockMs, performance.now())
  }

  private async _pause (ms: number): Promise<void> {
    await new Promise<void>(resolve => {
      const timer = setTimeout(resolve, ms)
      this._wake = () => {
        clearTimeout(timer)
        resolve()
      }
    })
    this._wake = undefined
  }
}

/** Ends stay known until the planner has stored them, also when a list comes late. */
function mergeEnds (known: readonly EndListing[], listed: readonly EndListing[], seen: number): EndListing[] {
  const ends = new Map<number, EndListing>()
  for (const end of [...known, ...listed]) if (end.number > seen) ends.set(end.number, end)
  return [...ends.values()].sort((a, b) => a.number - b.number)
}
