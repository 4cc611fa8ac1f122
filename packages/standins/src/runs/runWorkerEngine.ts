/**
 * Worker stand-in without I/O. All its tasks run under one lease and end when the lease expires. It models capacity, run numbers, fencing,
 * gangs and checkpoints, and lists each run that has ended until the planner acknowledges it. The worker has its own clock, which restarts
 * at 0 with each incarnation.
 */
import type { HoldRequest, HoldResult, RunOutcome, RunStartRequest } from '@dragonflylever/adapters'
import { RunEnd, StartRefusal, formatStepName, parseTaskName } from '@dragonflylever/core/graphs/index'
import type { EndListing, RunListing } from '@dragonflylever/core/graphs/index'

import type { GangBarrier, GangMember } from './gangBarrier.js'
import type { RunBehaviour, RunObserver } from './runBehaviour.js'

/** Options of {@link RunWorkerEngine}; times in milliseconds. */
export interface RunWorkerEngineOptions {
  readonly id: string
  readonly capacity: { readonly cpuMillis: number, readonly memoryMb: number, readonly accelerators: number }
  readonly barrier: GangBarrier
  readonly observer: RunObserver
  readonly getBehaviour: (task: string) => RunBehaviour | undefined
  readonly leaseMaxMs: number
  readonly stopGraceMs: number
  readonly gangTimeoutMs: number
  readonly checkpointMs: number
  /** Maximum number of ends that the worker lists at a time. */
  readonly maxListedEnds: number
  /** Rate of the worker's clock relative to real time; 1 is exact. */
  readonly clockRate: number
}

interface Run {
  readonly task: string
  readonly number: number
  readonly behaviour: RunBehaviour
  readonly member: GangMember | undefined
  savedMs: number
  workStartedAt: number | undefined
  timer: NodeJS.Timeout | undefined
  isStopping: boolean
}

/** Time from the start of a run that crashes its worker until the crash, in milliseconds. */
const CRASH_DELAY_MS = 10
/** Time for which a worker that was crashed by a run stays down, in milliseconds. */
const CRASH_DOWN_MS = 3_000
const CHECKPOINT_PREFIX = 'saved-'

export class RunWorkerEngine {
  /** Fault: every run on this worker fails. */
  isFailing = false
  /** Number of the incarnation; {@link RunWorkerEngine.crash} increments it. */
  born = 1
  private readonly _options: RunWorkerEngineOptions
  private readonly _runs = new Map<string, Run>()
  private readonly _highestRuns = new Map<string, number>()
  private _unacknowledgedEnds: EndListing[] = []
  private _endCount = 0
  /**
   * Number of times that the lease has expired. The map keeps the value that this counter had when a run ended, by the sequence number of
   * that end, to detect whether the lease has expired since.
   */
  private _leaseExpiries = 0
  private readonly _leaseExpiriesAtEnd = new Map<number, number>()
  private _epoch = 0
  private _leaseUntil = 0
  private _startedAt = performance.now()
  private _leaseTimer: NodeJS.Timeout | undefined
  private _endWaiters: Array<() => void> = []
  private _downUntil = -Infinity

  constructor (options: RunWorkerEngineOptions) {
    this._options = options
  }

  get clockMs (): number {
    return Math.floor((performance.now() - this._startedAt) * this._options.clockRate)
  }

  /** True while the worker is down after a crash; it answers no calls and sends no heartbeats. */
  get isDown (): boolean {
    return performance.now() < this._downUntil
  }

  get runCount (): number {
    return this._runs.size
  }

  /** Simulates a crash: ends all runs without reporting them, and starts a new incarnation with empty state after `downMs` milliseconds. */
  crash (downMs = 0): void {
    for (const run of [...this._runs.values()]) this._removeRun(run, undefined)
    this._highestRuns.clear()
    this._unacknowledgedEnds = []
    this._endCount = 0
    this._epoch = 0
    this._leaseUntil = 0
    clearTimeout(this._leaseTimer)
    this._downUntil = performance.now() + downMs
    this._startedAt = this._downUntil
    this.born++
    this._wakeWaiters()
  }

  start (start: RunStartRequest): RunOutcome {
    if (!this._acceptEpoch(start.epoch)) return this._refuse(StartRefusal.fenced)
    if (start.leaseUntil <= this.clockMs) return this._refuse(StartRefusal.late)
    const present = this._runs.get(start.task)
    if (present?.number === start.run) {
      this._extendLease(start.leaseUntil)
      return { kind: 'ok', clockMs: this.clockMs }
    }
    const behaviour = this._options.getBehaviour(start.task)
    if (behaviour === undefined) return this._refuse(StartRefusal.invalid)
    if (present !== undefined || start.run <= (this._highestRuns.get(start.task) ?? 0)) return this._refuse(StartRefusal.old)
    if (!this._hasCapacityFor(behaviour)) return this._refuse(StartRefusal.room)
    this._extendLease(start.leaseUntil)
    this._beginRun(start, behaviour)
    if (behaviour.isCrashing === true) setTimeout(() => this._crashUnderRun(start), CRASH_DELAY_MS)
    return { kind: 'ok', clockMs: this.clockMs }
  }

  stop (task: string, number: number, epoch: number): RunOutcome {
    if (!this._acceptEpoch(epoch)) return this._refuse(StartRefusal.fenced)
    this._highestRuns.set(task, Math.max(number, this._highestRuns.get(task) ?? 0))
    const run = this._runs.get(task)
    if (run !== undefined && run.number <= number && !run.isStopping) {
      run.isStopping = true
      clearTimeout(run.timer)
      run.timer = setTimeout(() => this._endRun(run, RunEnd.stopped), this._options.stopGraceMs)
    }
    return { kind: 'ok', clockMs: this.clockMs }
  }

  /** Lists the current runs and the ended runs that are not acknowledged yet (long poll). If no ended run is listed, first waits up to `waitMs` milliseconds for a run to end. */
  async hold (request: HoldRequest): Promise<RunOutcome<HoldResult>> {
    const { maxListedEnds } = this._options
    if (!this._acceptEpoch(request.epoch)) return this._refuse(StartRefusal.fenced)
    if (request.leaseUntil !== undefined) this._extendLease(request.leaseUntil)
    for (const end of this._unacknowledgedEnds) if (end.number <= request.seen && this._leaseExpiriesAtEnd.get(end.number) === this._leaseExpiries) this._options.observer.onAcknowledged(this._options.id, end.task, end.run, end.how)
    this._unacknowledgedEnds = this._unacknowledgedEnds.filter(end => end.number > request.seen)
    if (this._unacknowledgedEnds.length === 0 && request.waitMs > 0) await this._waitForEnd(request.waitMs)
    return { kind: 'ok', clockMs: this.clockMs, born: this.born, running: [...this._runs.values()].map(run => this._describeRun(run)), ended: this._unacknowledgedEnds.slice(0, maxListedEnds), hasMoreEnds: this._unacknowledgedEnds.length >= maxListedEnds }
  }

  /** Computes the capacity that no run uses. */
  computeFree (): RunBehaviour['needs'] {
    const free = { ...this._options.capacity }
    for (const { behaviour: { needs } } of this._runs.values()) {
      free.cpuMillis -= needs.cpuMillis
      free.memoryMb -= needs.memoryMb
      free.accelerators -= needs.accelerators
    }
    return free
  }

  private _hasCapacityFor ({ needs }: RunBehaviour): boolean {
    const free = this.computeFree()
    return needs.cpuMillis <= free.cpuMillis && needs.memoryMb <= free.memoryMb && needs.accelerators <= free.accelerators
  }

  private _crashUnderRun (start: RunStartRequest): void {
    if (this._runs.get(start.task)?.number !== start.run) return
    this._options.observer.onCrash?.(this._options.id, start.task, start.run)
    this.crash(CRASH_DOWN_MS)
  }

  private _acceptEpoch (epoch: number): boolean {
    if (epoch < this._epoch) return false
    this._epoch = epoch
    return true
  }

  private _refuse (reason: StartRefusal): Extract<RunOutcome, { kind: 'refused' }> {
    return { kind: 'refused', reason, clockMs: this.clockMs }
  }

  private _beginRun (start: RunStartRequest, behaviour: RunBehaviour): void {
    const savedMs = start.checkpoint === '' ? 0 : Number(start.checkpoint.slice(CHECKPOINT_PREFIX.length))
    const name = parseTaskName(start.task)
    const step = name === undefined ? start.task : formatStepName(name.jobId, name.occurrence, name.step)
    const member: GangMember | undefined = behaviour.gangSize === undefined ? undefined : { task: start.task, begin: () => this._startWork(run), end: how => this._endRun(run, how) }
    const run: Run = { task: start.task, number: start.run, behaviour, member, savedMs, workStartedAt: undefined, timer: undefined, isStopping: false }
    this._runs.set(start.task, run)
    this._options.observer.onStart(this._options.id, start.task, start.run, start.checkpoint)
    if (member === undefined || behaviour.gangSize === undefined) return this._startWork(run)
    run.timer = setTimeout(() => this._endRun(run, RunEnd.alone), this._options.gangTimeoutMs)
    this._options.barrier.join(step, start.run, behaviour.gangSize, member)
  }

  private _startWork (run: Run): void {
    if (run.isStopping) return
    clearTimeout(run.timer)
    run.workStartedAt = performance.now()
    const isFailing = this.isFailing || run.behaviour.isFailing
    const leftMs = Math.max(1, run.behaviour.durationMs - run.savedMs)
    run.timer = setTimeout(() => this._endRun(run, isFailing ? RunEnd.failed : RunEnd.done), isFailing ? leftMs / 2 : leftMs)
  }

  private _endRun (run: Run, how: RunEnd): void {
    if (this._runs.get(run.task) !== run) return
    this._leaseExpiriesAtEnd.set(this._endCount + 1, this._leaseExpiries)
    this._unacknowledgedEnds.push({ number: ++this._endCount, task: run.task, run: run.number, how, checkpoint: this._makeCheckpoint(run) })
    this._highestRuns.set(run.task, Math.max(run.number, this._highestRuns.get(run.task) ?? 0))
    this._removeRun(run, how)
    this._wakeWaiters()
  }

  private _removeRun (run: Run, how: RunEnd | undefined): void {
    this._runs.delete(run.task)
    clearTimeout(run.timer)
    this._options.observer.onEnd(this._options.id, run.task, run.number, how)
    const name = parseTaskName(run.task)
    if (run.member !== undefined && name !== undefined) this._options.barrier.leave(formatStepName(name.jobId, name.occurrence, name.step), run.number, run.member, how === RunEnd.done ? 'done' : 'broken')
  }

  private _extendLease (until: number): void {
    const bounded = Math.min(until, this.clockMs + this._options.leaseMaxMs)
    if (bounded <= this._leaseUntil) return
    this._leaseUntil = bounded
    clearTimeout(this._leaseTimer)
    this._leaseTimer = setTimeout(() => this._expireLease(), (bounded - this.clockMs) / this._options.clockRate)
  }

  private _expireLease (): void {
    this._leaseExpiries++
    for (const run of [...this._runs.values()]) this._endRun(run, RunEnd.lapsed)
  }

  private _describeRun (run: Run): RunListing {
    const ranMs = run.workStartedAt === undefined ? 0 : performance.now() - run.workStartedAt
    const percent = Math.floor(Math.min(99, (run.savedMs + ranMs) / run.behaviour.durationMs * 100))
    return { task: run.task, run: run.number, checkpoint: this._makeCheckpoint(run), percent, usage: 0 }
  }

  private _makeCheckpoint (run: Run): string {
    const { durationMs, isCheckpointing } = run.behaviour
    if (!isCheckpointing) return ''
    const workedMs = run.workStartedAt === undefined ? 0 : performance.now() - run.workStartedAt
    const savedMs = Math.min(durationMs, run.savedMs + Math.floor(workedMs / this._options.checkpointMs) * this._options.checkpointMs)
    return savedMs === 0 ? '' : `${CHECKPOINT_PREFIX}${savedMs}`
  }

  private async _waitForEnd (ms: number): Promise<void> {
    await new Promise<void>(resolve => {
      const timer = setTimeout(resolve, ms)
      this._endWaiters.push(() => {
        clearTimeout(timer)
        resolve()
      })
    })
  }

  private _wakeWaiters (): void {
    const waiters = this._endWaiters
    this._endWaiters = []
    for (const wake of waiters) wake()
  }
}
