/**
 * Simulates a scheduler with a seeded stream of jobs and worker events under a virtual clock. Network, hosts and processes are not modelled:
 * a start takes effect immediately, and a stopped job releases its workers after the fixed duration of a checkpoint or of a stop without one.
 */
import type { ExpectedEnd, Guarantee, JobSpec, PlanAction, PlanSnapshot, RunningJob, WaitingJob, WorkerDescription } from '@dragonflylever/core'
import { EventQueue, findEarliestStart, FleetModel, WorkerState } from '@dragonflylever/core'

import type { FreeCapacity } from './fragmentation.js'
import { sampleFreeCapacity } from './fragmentation.js'
import type { JobArrival, WorkerEvent } from './gangWorkload.js'

/** Scheduler under comparison: the planner or a baseline. */
export interface GangScheduler {
  schedule (snapshot: PlanSnapshot, now: number): PlanAction[]
  recordFinished? (spec: JobSpec, runMs: number, placement: readonly string[]): void
  recordFailed? (spec: JobSpec, workerId: string, now: number): void
}

/** Fleet, workload and scheduler of one simulation. */
export interface GangDriverOptions {
  readonly workers: readonly WorkerDescription[]
  readonly guarantees: readonly Guarantee[]
  readonly arrivals: readonly JobArrival[]
  readonly workerEvents: readonly WorkerEvent[]
  readonly scheduler: GangScheduler
}

/** Outcome of a job; times are virtual, in milliseconds. */
export interface JobResult {
  readonly arrival: JobArrival
  readonly end: 'done' | 'failed' | 'cancelled' | 'unfinished'
  readonly firstStartAt: number | undefined
  readonly endAt: number
  /**
   * Time from the arrival of the job until enough running jobs would have ended to make room for its gang, if no other job had started;
   * computed from actual run times. Undefined for gangs of fewer than 64 tasks, and for gangs that would not fit at any time.
   */
  readonly drainMs: number | undefined
}

/** Result of one simulation; shares are fractions of total accelerator time. */
export interface GangDriverResult {
  readonly results: readonly JobResult[]
  readonly decisionUs: readonly number[]
  readonly unusableShare: number
  readonly unusableStrictShare: number
  readonly freeWhileWaitingShare: number
  readonly usedShare: number
  readonly lostShare: number
  readonly reclaims: number
}

interface LiveJob {
  readonly arrival: JobArrival
  waiting: WaitingJob
  firstStartAt: number | undefined
  run: RunningJob | undefined
  readonly drainMs: number | undefined
  /** Incremented when a run of the job ends without completing it, so that pending events of that run are ignored. */
  version: number
}

type DriverEvent = { readonly at: number } & (
  | { readonly kind: 'arrival', readonly arrival: JobArrival }
  | { readonly kind: 'cancel', readonly jobId: string }
  | { readonly kind: 'taskEnd', readonly jobId: string, readonly version: number, readonly isFailed: boolean, readonly workerId: string }
  | { readonly kind: 'released', readonly jobId: string, readonly version: number, readonly savedMs: number }
  | { readonly kind: 'worker', readonly event: WorkerEvent }
  | { readonly kind: 'pass' }
)

const CHECKPOINT_DURATION_MS = 30_000
const STOP_DURATION_MS = 1_000
const PASS_INTERVAL_MS = 60_000
const CHECKPOINT_INTERVAL_MS = 30 * 60_000
/** Minimum time between samples of the free capacity. */
const SAMPLE_INTERVAL_MS = 300_000
const LARGE_GANG_TASKS = 64
const FAIL_AFTER_MS = 20_000
const DAY_MS = 86_400_000

export class GangDriver {
  private readonly _input: GangDriverOptions
  private readonly _events = new EventQueue<DriverEvent>()
  private readonly _liveJobs = new Map<string, LiveJob>()
  private readonly _results: JobResult[] = []
  private readonly _decisionUs: number[] = []
  private readonly _workers = new Map<string, WorkerDescription>()
  private readonly _faultyWorkers = new Set<string>()
  private readonly _acceleratorMs = { total: 0, used: 0, unusable: 0, strict: 0, freeWaiting: 0 }
  private _now = 0
  private _nextPassAt = -1
  private _sampledAt = -Infinity
  private _freeCapacity: FreeCapacity = { total: 0, used: 0, unusable: 0, unusableStrict: 0, freeWhileWaiting: 0 }
  private _lostAcceleratorMs = 0
  private _reclaims = 0

  constructor (input: GangDriverOptions) {
    this._input = input
    for (const worker of input.workers) this._workers.set(worker.id, worker)
    for (const arrival of input.arrivals) {
      this._events.add({ at: arrival.at, kind: 'arrival', arrival })
      if (arrival.cancelAt !== undefined) this._events.add({ at: arrival.cancelAt, kind: 'cancel', jobId: arrival.spec.id })
    }
    for (const event of input.workerEvents) this._events.add({ at: event.at, kind: 'worker', event })
  }

  run (): GangDriverResult {
    const lastAt = (this._input.arrivals.at(-1)?.at ?? 0) + 3 * DAY_MS
    while (this._events.size > 0 && this._hasWork()) {
      const event = this._events.take()
      if (event === undefined || event.at > lastAt) break
      this._recordUsageUntil(event.at)
      this._now = event.at
      this._handleEvent(event)
      while (this._events.nextAt === this._now) this._handleEvent(this._events.take() as DriverEvent)
      this._runSchedulerPass()
    }
    for (const live of [...this._liveJobs.values()]) this._endJob(live, 'unfinished')
    const total = Math.max(1, this._acceleratorMs.total)
    return {
      results: this._results,
      decisionUs: this._decisionUs,
      unusableShare: this._acceleratorMs.unusable / total,
      unusableStrictShare: this._acceleratorMs.strict / total,
      freeWhileWaitingShare: this._acceleratorMs.freeWaiting / total,
      usedShare: this._acceleratorMs.used / total,
      lostShare: this._lostAcceleratorMs / total,
      reclaims: this._reclaims
    }
  }

  /** Returns whether the simulation must go on: some job has not arrived yet, or some job that is able to complete has not ended. */
  private _hasWork (): boolean {
    if (this._results.length + this._liveJobs.size < this._input.arrivals.length) return true
    for (const live of this._liveJobs.values()) if (!live.arrival.isImpossible && !live.arrival.isFaulty) return true
    return false
  }

  private _handleEvent (event: DriverEvent): void {
    switch (event.kind) {
      case 'arrival': {
        const waiting = { spec: event.arrival.spec, submittedAt: this._now, doneMs: 0 }
        this._liveJobs.set(event.arrival.spec.id, { arrival: event.arrival, waiting, firstStartAt: undefined, run: undefined, drainMs: this._computeDrainMs(event.arrival), version: 0 })
        return
      }
      case 'cancel': {
        const live = this._liveJobs.get(event.jobId)
        if (live !== undefined) this._endJob(live, 'cancelled')
        return
      }
      case 'taskEnd': return this._endTask(event)
      case 'released': {
        const live = this._liveJobs.get(event.jobId)
        if (live?.run !== undefined && live.version === event.version) this._returnToQueue(live, event.savedMs)
        return
      }
      case 'worker': return this._updateWorker(event.event)
      case 'pass':
    }
  }

  private _endTask (event: DriverEvent & { kind: 'taskEnd' }): void {
    const live = this._liveJobs.get(event.jobId)
    if (live?.run === undefined || live.version !== event.version) return
    const { spec } = live.arrival
    if (event.isFailed) {
      this._input.scheduler.recordFailed?.(spec, event.workerId, this._now)
      return this._returnToQueue(live, live.waiting.doneMs)
    }
    this._input.scheduler.recordFinished?.(spec, live.arrival.runMs, live.run.placement)
    this._endJob(live, 'done')
  }

  private _updateWorker (event: WorkerEvent): void {
    const worker = this._workers.get(event.workerId)
    if (worker === undefined) return
    if (event.kind === 'breaks') this._faultyWorkers.add(worker.id)
    if (event.kind === 'mended') this._faultyWorkers.delete(worker.id)
    if (event.kind === 'breaks' || event.kind === 'mended') return
    this._workers.set(worker.id, { ...worker, state: event.kind === 'up' ? WorkerState.ready : WorkerState.lost })
    if (event.kind === 'up') return
    for (const live of [...this._liveJobs.values()]) {
      if (live.run?.placement.includes(worker.id) === true) this._returnToQueue(live, this._computeSavedRunMs(live))
    }
  }

  /** Returns how much of a job's run time is saved by its last periodic checkpoint, in milliseconds; the rest is lost with the worker. */
  private _computeSavedRunMs (live: LiveJob): number {
    if (live.run === undefined || !live.arrival.spec.isCheckpointable) return 0
    return live.waiting.doneMs + Math.floor((this._now - live.run.startedAt) / CHECKPOINT_INTERVAL_MS) * CHECKPOINT_INTERVAL_MS
  }

  private _returnToQueue (live: LiveJob, savedMs: number): void {
    const size = live.arrival.spec.tasks * live.arrival.spec.shape.accelerators
    if (live.run !== undefined) this._lostAcceleratorMs += size * Math.max(0, live.waiting.doneMs + this._now - live.run.startedAt - savedMs)
    live.run = undefined
    live.version++
    live.waiting = { ...live.waiting, doneMs: savedMs }
  }

  private _endJob (live: LiveJob, end: JobResult['end']): void {
    this._liveJobs.delete(live.arrival.spec.id)
    this._results.push({ arrival: live.arrival, end, firstStartAt: live.firstStartAt, endAt: this._now, drainMs: live.drainMs })
  }

  private _runSchedulerPass (): void {
    const snapshot = this._makeSnapshot()
    const startedAt = performance.now()
    const actions = this._input.scheduler.schedule(snapshot, this._now)
    this._decisionUs.push((performance.now() - startedAt) * 1_000)
    for (const action of actions) this._applyAction(action)
    const isWaiting = [...this._liveJobs.values()].some(live => live.run === undefined)
    if (!isWaiting || this._nextPassAt > this._now) return
    this._nextPassAt = this._now + PASS_INTERVAL_MS
    this._events.add({ at: this._nextPassAt, kind: 'pass' })
  }

  private _makeSnapshot (): PlanSnapshot {
    const running: RunningJob[] = []
    const waiting: WaitingJob[] = []
    for (const { run, waiting: job } of this._liveJobs.values()) {
      if (run === undefined) waiting.push(job)
      else running.push({ ...run, savedAt: job.spec.isCheckpointable ? run.startedAt + Math.floor((this._now - run.startedAt) / CHECKPOINT_INTERVAL_MS) * CHECKPOINT_INTERVAL_MS : run.startedAt })
    }
    return { workers: [...this._workers.values()], guarantees: this._input.guarantees, waiting, running }
  }

  private _applyAction (action: PlanAction): void {
    if (action.kind === 'quarantine' || action.kind === 'reserve') return
    const live = this._liveJobs.get(action.jobId)
    if (live === undefined) return
    if (action.kind === 'fail') this._endJob(live, 'failed')
    if (action.kind === 'start') this._startJob(live, action.placement, action.coveredBy)
    if (action.kind === 'reclaim' && live.run !== undefined && !live.run.isStopping) this._reclaimJob(live, live.run, action.how === 'checkpoint')
  }

  private _startJob (live: LiveJob, placement: readonly string[], coveredBy: readonly string[]): void {
    live.firstStartAt ??= this._now
    live.run = { ...live.waiting, placement, coveredBy, startedAt: this._now, savedAt: this._now, checkpointMs: CHECKPOINT_DURATION_MS, isStopping: false }
    const { jobId, version } = { jobId: live.arrival.spec.id, version: live.version }
    const brokenId = placement.find(id => this._faultyWorkers.has(id))
    const failsAt = brokenId ?? (live.arrival.isFaulty ? placement[0] : undefined)
    const runMs = failsAt !== undefined ? FAIL_AFTER_MS : Math.max(1, live.arrival.runMs - live.waiting.doneMs)
    this._events.add({ at: this._now + runMs, kind: 'taskEnd', jobId, version, isFailed: failsAt !== undefined, workerId: failsAt ?? '' })
  }

  private _reclaimJob (live: LiveJob, run: RunningJob, isCheckpoint: boolean): void {
    this._reclaims++
    live.run = { ...run, isStopping: true }
    const savedMs = isCheckpoint ? live.waiting.doneMs + this._now - run.startedAt : this._computeSavedRunMs(live)
    const at = this._now + (isCheckpoint ? CHECKPOINT_DURATION_MS : STOP_DURATION_MS)
    this._events.add({ at, kind: 'released', jobId: live.arrival.spec.id, version: live.version, savedMs })
  }

  private _computeDrainMs (arrival: JobArrival): number | undefined {
    if (arrival.spec.tasks < LARGE_GANG_TASKS) return undefined
    const snapshot = this._makeSnapshot()
    const fleet = new FleetModel(snapshot.workers)
    const ends: ExpectedEnd[] = snapshot.running.map(job => {
      const places = fleet.listWorkerIndexes(job.placement)
      fleet.takeResources(places, job.spec.shape)
      const runMs = this._liveJobs.get(job.spec.id)?.arrival.runMs ?? 0
      return { job, places, endAt: job.startedAt + runMs - job.doneMs }
    }).sort((a, b) => a.endAt - b.endAt)
    const found = findEarliestStart(fleet, arrival.spec, ends, () => true, this._now)
    return found === undefined ? undefined : found.startAt - this._now
  }

  private _recordUsageUntil (until: number): void {
    const spanMs = until - this._now
    if (spanMs <= 0) return
    if (this._now >= this._sampledAt + SAMPLE_INTERVAL_MS) {
      this._freeCapacity = sampleFreeCapacity(this._makeSnapshot())
      this._sampledAt = this._now
    }
    const capacity = this._freeCapacity
    this._acceleratorMs.total += capacity.total * spanMs
    this._acceleratorMs.used += capacity.used * spanMs
    this._acceleratorMs.unusable += capacity.unusable * spanMs
    this._acceleratorMs.strict += capacity.unusableStrict * spanMs
    this._acceleratorMs.freeWaiting += capacity.freeWhileWaiting * spanMs
  }
}
