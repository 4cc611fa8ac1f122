/**
 * Feeds a scheduler a seeded stream of jobs and worker events under a virtual clock. It models no network, hosts or
 * processes: a start takes effect at once, a reclaim after its checkpoint or stop time.
 */
import type { ExpectedEnd, Guarantee, JobSpec, PlanAction, PlanSnapshot, RunningJob, WaitingJob, WorkerFacts } from '@dragonflylever/core'
import { EventQueue, findEarliest, FleetModel, WorkerState } from '@dragonflylever/core'

import type { FreeUse } from './fragmentation.js'
import { sampleFreeUse } from './fragmentation.js'
import type { JobArrival, WorkerEvent } from './gangWorkload.js'

/** What is compared: the planner or a baseline. */
export interface GangScheduler {
  schedule (snapshot: PlanSnapshot, now: number): PlanAction[]
  noteFinished? (spec: JobSpec, runMs: number, placement: readonly string[]): void
  noteFailed? (spec: JobSpec, workerId: string, now: number): void
}

/** Input of one run. */
export interface DriverInput {
  readonly workers: readonly WorkerFacts[]
  readonly guarantees: readonly Guarantee[]
  readonly arrivals: readonly JobArrival[]
  readonly workerEvents: readonly WorkerEvent[]
  readonly scheduler: GangScheduler
}

/** What became of a job. */
export interface JobResult {
  readonly arrival: JobArrival
  readonly end: 'done' | 'failed' | 'cancelled' | 'unfinished'
  readonly firstStartAt: number | undefined
  readonly endAt: number
  /** Time until the gang would have fitted without any new start, from true run times; for gangs of 64 only. */
  readonly drainMs: number | undefined
}

/** Result of one run; shares are of accelerator time. */
export interface DriverResult {
  readonly results: readonly JobResult[]
  readonly decisionUs: readonly number[]
  readonly unusableShare: number
  readonly unusableStrictShare: number
  readonly freeWhileWaitingShare: number
  readonly usedShare: number
  readonly lostShare: number
  readonly reclaims: number
}

interface Live {
  readonly arrival: JobArrival
  waiting: WaitingJob
  firstStartAt: number | undefined
  run: RunningJob | undefined
  readonly drainMs: number | undefined
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

const CHECKPOINT_MS = 30_000
const STOP_MS = 1_000
const PASS_MS = 60_000
const SAVE_EVERY_MS = 30 * 60_000
/** How often what is free is looked at. */
const SAMPLE_MS = 300_000
const LARGE_GANG = 64
const FAIL_AFTER_MS = 20_000
const DAY_MS = 86_400_000

export class GangDriver {
  private readonly _input: DriverInput
  private readonly _events = new EventQueue<DriverEvent>()
  private readonly _live = new Map<string, Live>()
  private readonly _results: JobResult[] = []
  private readonly _decisionUs: number[] = []
  private readonly _workers = new Map<string, WorkerFacts>()
  private readonly _broken = new Set<string>()
  private readonly _sums = { total: 0, used: 0, unusable: 0, strict: 0, freeWaiting: 0 }
  private _now = 0
  private _nextPassAt = -1
  private _sampledAt = -Infinity
  private _use: FreeUse = { total: 0, used: 0, unusable: 0, unusableStrict: 0, freeWhileWaiting: 0 }
  private _lost = 0
  private _reclaims = 0

  constructor (input: DriverInput) {
    this._input = input
    for (const worker of input.workers) this._workers.set(worker.id, worker)
    for (const arrival of input.arrivals) {
      this._events.add({ at: arrival.at, kind: 'arrival', arrival })
      if (arrival.cancelAt !== undefined) this._events.add({ at: arrival.cancelAt, kind: 'cancel', jobId: arrival.spec.id })
    }
    for (const event of input.workerEvents) this._events.add({ at: event.at, kind: 'worker', event })
  }

  run (): DriverResult {
    const lastAt = (this._input.arrivals.at(-1)?.at ?? 0) + 3 * DAY_MS
    while (this._events.size > 0 && this._hasWork()) {
      const event = this._events.take()
      if (event === undefined || event.at > lastAt) break
      this._measure(event.at)
      this._now = event.at
      this._handle(event)
      while (this._events.nextAt === this._now) this._handle(this._events.take() as DriverEvent)
      this._decide()
    }
    for (const live of [...this._live.values()]) this._end(live, 'unfinished')
    const total = Math.max(1, this._sums.total)
    return {
      results: this._results,
      decisionUs: this._decisionUs,
      unusableShare: this._sums.unusable / total,
      unusableStrictShare: this._sums.strict / total,
      freeWhileWaitingShare: this._sums.freeWaiting / total,
      usedShare: this._sums.used / total,
      lostShare: this._lost / total,
      reclaims: this._reclaims
    }
  }

  /** False once only jobs that fit nowhere are left. */
  private _hasWork (): boolean {
    if (this._results.length + this._live.size < this._input.arrivals.length) return true
    for (const live of this._live.values()) if (!live.arrival.isImpossible && !live.arrival.isFaulty) return true
    return false
  }

  private _handle (event: DriverEvent): void {
    switch (event.kind) {
      case 'arrival': {
        const waiting = { spec: event.arrival.spec, submittedAt: this._now, doneMs: 0 }
        this._live.set(event.arrival.spec.id, { arrival: event.arrival, waiting, firstStartAt: undefined, run: undefined, drainMs: this._computeDrain(event.arrival), version: 0 })
        return
      }
      case 'cancel': {
        const live = this._live.get(event.jobId)
        if (live !== undefined) this._end(live, 'cancelled')
        return
      }
      case 'taskEnd': return this._endTask(event)
      case 'released': {
        const live = this._live.get(event.jobId)
        if (live?.run !== undefined && live.version === event.version) this._restore(live, event.savedMs)
        return
      }
      case 'worker': return this._updateWorker(event.event)
      case 'pass':
    }
  }

  private _endTask (event: DriverEvent & { kind: 'taskEnd' }): void {
    const live = this._live.get(event.jobId)
    if (live?.run === undefined || live.version !== event.version) return
    const { spec } = live.arrival
    if (event.isFailed) {
      this._input.scheduler.noteFailed?.(spec, event.workerId, this._now)
      return this._restore(live, live.waiting.doneMs)
    }
    this._input.scheduler.noteFinished?.(spec, live.arrival.runMs, live.run.placement)
    this._end(live, 'done')
  }

  private _updateWorker (event: WorkerEvent): void {
    const worker = this._workers.get(event.workerId)
    if (worker === undefined) return
    if (event.kind === 'breaks') this._broken.add(worker.id)
    if (event.kind === 'mended') this._broken.delete(worker.id)
    if (event.kind === 'breaks' || event.kind === 'mended') return
    this._workers.set(worker.id, { ...worker, state: event.kind === 'up' ? WorkerState.ready : WorkerState.lost })
    if (event.kind === 'up') return
    for (const live of [...this._live.values()]) {
      if (live.run?.placement.includes(worker.id) === true) this._restore(live, this._computeSaved(live))
    }
  }

  /** Run time that survives a loss: the last periodic checkpoint. */
  private _computeSaved (live: Live): number {
    if (live.run === undefined || !live.arrival.spec.isCheckpointable) return 0
    return live.waiting.doneMs + Math.floor((this._now - live.run.startedAt) / SAVE_EVERY_MS) * SAVE_EVERY_MS
  }

  private _restore (live: Live, savedMs: number): void {
    const size = live.arrival.spec.tasks * live.arrival.spec.shape.accelerators
    if (live.run !== undefined) this._lost += size * Math.max(0, live.waiting.doneMs + this._now - live.run.startedAt - savedMs)
    live.run = undefined
    live.version++
    live.waiting = { ...live.waiting, doneMs: savedMs }
  }

  private _end (live: Live, end: JobResult['end']): void {
    this._live.delete(live.arrival.spec.id)
    this._results.push({ arrival: live.arrival, end, firstStartAt: live.firstStartAt, endAt: this._now, drainMs: live.drainMs })
  }

  private _decide (): void {
    const snapshot = this._makeSnapshot()
    const startedAt = performance.now()
    const actions = this._input.scheduler.schedule(snapshot, this._now)
    this._decisionUs.push((performance.now() - startedAt) * 1_000)
    for (const action of actions) this._apply(action)
    const isWaiting = [...this._live.values()].some(live => live.run === undefined)
    if (!isWaiting || this._nextPassAt > this._now) return
    this._nextPassAt = this._now + PASS_MS
    this._events.add({ at: this._nextPassAt, kind: 'pass' })
  }

  private _makeSnapshot (): PlanSnapshot {
    const running: RunningJob[] = []
    const waiting: WaitingJob[] = []
    for (const { run, waiting: job } of this._live.values()) {
      if (run === undefined) waiting.push(job)
      else running.push({ ...run, savedAt: job.spec.isCheckpointable ? run.startedAt + Math.floor((this._now - run.startedAt) / SAVE_EVERY_MS) * SAVE_EVERY_MS : run.startedAt })
    }
    return { workers: [...this._workers.values()], guarantees: this._input.guarantees, waiting, running }
  }

  private _apply (action: PlanAction): void {
    if (action.kind === 'quarantine' || action.kind === 'reserve') return
    const live = this._live.get(action.jobId)
    if (live === undefined) return
    if (action.kind === 'fail') this._end(live, 'failed')
    if (action.kind === 'start') this._start(live, action.placement, action.coveredBy)
    if (action.kind === 'reclaim' && live.run !== undefined && !live.run.isLeaving) this._reclaim(live, live.run, action.how === 'checkpoint')
  }

  private _start (live: Live, placement: readonly string[], coveredBy: readonly string[]): void {
    live.firstStartAt ??= this._now
    live.run = { ...live.waiting, placement, coveredBy, startedAt: this._now, savedAt: this._now, checkpointMs: CHECKPOINT_MS, isLeaving: false }
    const { jobId, version } = { jobId: live.arrival.spec.id, version: live.version }
    const brokenId = placement.find(id => this._broken.has(id))
    const failsAt = brokenId ?? (live.arrival.isFaulty ? placement[0] : undefined)
    const runMs = failsAt !== undefined ? FAIL_AFTER_MS : Math.max(1, live.arrival.runMs - live.waiting.doneMs)
    this._events.add({ at: this._now + runMs, kind: 'taskEnd', jobId, version, isFailed: failsAt !== undefined, workerId: failsAt ?? '' })
  }

  private _reclaim (live: Live, run: RunningJob, isCheckpoint: boolean): void {
    this._reclaims++
    live.run = { ...run, isLeaving: true }
    const savedMs = isCheckpoint ? live.waiting.doneMs + this._now - run.startedAt : this._computeSaved(live)
    const at = this._now + (isCheckpoint ? CHECKPOINT_MS : STOP_MS)
    this._events.add({ at, kind: 'released', jobId: live.arrival.spec.id, version: live.version, savedMs })
  }

  private _computeDrain (arrival: JobArrival): number | undefined {
    if (arrival.spec.tasks < LARGE_GANG) return undefined
    const snapshot = this._makeSnapshot()
    const fleet = new FleetModel(snapshot.workers)
    const ends: ExpectedEnd[] = snapshot.running.map(job => {
      const places = fleet.listIndexes(job.placement)
      fleet.hold(places, job.spec.shape)
      const runMs = this._live.get(job.spec.id)?.arrival.runMs ?? 0
      return { job, places, endAt: job.startedAt + runMs - job.doneMs }
    }).sort((a, b) => a.endAt - b.endAt)
    const found = findEarliest(fleet, arrival.spec, ends, () => true, this._now)
    return found === undefined ? undefined : found.startAt - this._now
  }

  private _measure (until: number): void {
    const spanMs = until - this._now
    if (spanMs <= 0) return
    if (this._now >= this._sampledAt + SAMPLE_MS) {
      this._use = sampleFreeUse(this._makeSnapshot())
      this._sampledAt = this._now
    }
    const use = this._use
    this._sums.total += use.total * spanMs
    this._sums.used += use.used * spanMs
    this._sums.unusable += use.unusable * spanMs
    this._sums.strict += use.unusableStrict * spanMs
    this._sums.freeWaiting += use.freeWhileWaiting * spanMs
  }
}
