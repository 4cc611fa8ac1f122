/**
 * One scheduler pass: ranks the waiting jobs of a snapshot and decides for each whether the job starts, reclaims capacity, gets a
 * reservation, fails or waits.
 */
import { CapacityTable } from './fleetModel.js'
import type { FleetModel } from './fleetModel.js'
import type { GangPlannerOptions } from './gangPlanner.js'
import { JobFailure } from './jobTypes.js'
import type { JobSpec, PlanAction, PlanSnapshot, WaitingJob } from './jobTypes.js'
import { findPlacement } from './placementSearch.js'
import { SchedulerPassCapacity } from './schedulerPassCapacity.js'
import { findEarliestStart } from './reservationSearch.js'
import type { ExpectedEnd, Reservation } from './reservationSearch.js'

const MEDIAN_QUANTILE = 0.5
const HIGH_QUANTILE = 0.9
/** Share of its time to the finish target that a job must have waited before it gets a reservation. */
const RESERVATION_WAIT_SHARE = 0.25
/** A job that misses its finish target is ranked first again once it has waited for this multiple of the time to the target. */
const AGING_FACTOR = 3

interface RankedJob {
  readonly job: WaitingJob
  readonly isGuaranteed: boolean
  readonly rank: number
}

export class SchedulerPass {
  private readonly _snapshot: PlanSnapshot
  private readonly _now: number
  private readonly _options: Required<GangPlannerOptions>
  private readonly _reservations: Map<string, Reservation>
  private readonly _capacity: SchedulerPassCapacity
  private readonly _fleet: FleetModel
  private readonly _actions: PlanAction[] = []
  private readonly _reservedUntil: Float64Array
  private readonly _reservedFor = new Map<number, string>()
  private readonly _unplaceable = new Set<string>()
  private _expectedEnds: ExpectedEnd[] | undefined
  private _totalCapacity: CapacityTable | undefined

  constructor (snapshot: PlanSnapshot, now: number, options: Required<GangPlannerOptions>, reservations: Map<string, Reservation>) {
    this._snapshot = snapshot
    this._now = now
    this._options = options
    this._reservations = reservations
    this._capacity = new SchedulerPassCapacity(snapshot, now)
    this._fleet = this._capacity.fleet
    this._reservedUntil = new Float64Array(snapshot.workers.length).fill(Infinity)
  }

  run (): PlanAction[] {
    const ranked = this._rankWaiting()
    this._restoreReservations()
    for (const { job, isGuaranteed } of ranked.slice(0, this._options.maxJobsPerPass)) this._decideJob(job, isGuaranteed)
    return this._actions
  }

  private _rankWaiting (): RankedJob[] {
    const ranked = this._snapshot.waiting.map(job => ({
      job,
      isGuaranteed: this._capacity.listShapeCharges(job.spec).length > 0,
      rank: this._computeRank(job)
    }))
    return ranked.sort((a, b) => Number(b.isGuaranteed) - Number(a.isGuaranteed) || a.rank - b.rank || a.job.submittedAt - b.job.submittedAt)
  }

  /** Ranks by the latest start that meets the finish target. Jobs that can no longer meet it rank last until they have aged. */
  private _computeRank (job: WaitingJob): number {
    const { finishWithinMs } = job.spec
    const remainingMs = this._options.runTimes.predictRemainingMs(job.spec, job.doneMs, MEDIAN_QUANTILE)
    const latestStartAt = job.submittedAt + finishWithinMs - remainingMs
    if (latestStartAt >= this._now) return latestStartAt
    const agedAt = job.submittedAt + AGING_FACTOR * finishWithinMs
    return agedAt <= this._now ? job.submittedAt : Number.MAX_SAFE_INTEGER / 2 + agedAt
  }

  /** Keeps the reservations of jobs that still wait and whose workers are all ready; deletes the others. */
  private _restoreReservations (): void {
    const waiting = new Set(this._snapshot.waiting.map(job => job.spec.id))
    for (const [jobId, reservation] of this._reservations) {
      const workers = this._fleet.listWorkerIndexes(reservation.workers)
      const isWhole = workers.length === reservation.workers.length && workers.every(worker => this._fleet.isReady(worker))
      if (!waiting.has(jobId) || !isWhole) this._reservations.delete(jobId)
      else this._markReserved(reservation)
    }
  }

  private _markReserved (reservation: Reservation): void {
    for (const worker of this._fleet.listWorkerIndexes(reservation.workers)) {
      this._reservedFor.set(worker, reservation.jobId)
      this._reservedUntil[worker] = reservation.expectedStartAt
    }
  }

  private _dropReservation (jobId: string): void {
    this._reservations.delete(jobId)
    for (const [worker, holder] of this._reservedFor) {
      if (holder !== jobId) continue
      this._reservedFor.delete(worker)
      this._reservedUntil[worker] = Infinity
    }
  }

  private _decideJob (job: WaitingJob, isGuaranteed: boolean): void {
    const { spec } = job
    if (this._failIfUnrunnable(job)) return
    if (isGuaranteed && this._startOnGuarantee(job)) return
    const key = `${spec.shape.accelerators}/${spec.shape.cores}/${spec.shape.memoryGb}/${spec.tasks}/${spec.adjacency}/${String(spec.isCheckpointable)}`
    const isUnrestricted = !this._reservations.has(spec.id) && !this._options.failureAttribution.hasFailed(spec.id)
    if (isUnrestricted && this._unplaceable.has(key)) return
    const places = this._capacity.findBorrowedPlacement(spec, this._makeWorkerFilter(job))
    if (places !== undefined) return this._startJob(job, places, [])
    if (isUnrestricted && this._reservedFor.size === 0) this._unplaceable.add(key)
    this._reserveWorkers(job)
  }

  private _failIfUnrunnable (job: WaitingJob): boolean {
    const { spec } = job
    if (this._options.failureAttribution.isJobFaulty(spec.id)) return this._failJob(job, JobFailure.failsEverywhere, 'its tasks failed on several workers on which other jobs run; look at its logs before it is submitted again')
    this._totalCapacity ??= makeTotalCapacity(this._fleet)
    if (findPlacement(this._fleet, { ...spec, capacity: this._totalCapacity }) !== undefined) return false
    return this._failJob(job, JobFailure.neverFits, `no ${spec.adjacency} has room for ${spec.tasks} tasks of this shape even when it is empty; submit fewer or smaller tasks, or a wider adjacency`)
  }

  private _failJob (job: WaitingJob, reason: JobFailure, message: string): boolean {
    this._actions.push({ kind: 'fail', jobId: job.spec.id, reason, message })
    this._dropReservation(job.spec.id)
    return true
  }

  /** Starts a job on guaranteed shapes or reclaims capacity for it; returns false when neither was possible. */
  private _startOnGuarantee (job: WaitingJob): boolean {
    const isUsable = (worker: number): boolean => !this._options.failureAttribution.hasFailedOn(job.spec.id, this._fleet.workers[worker]?.id ?? '')
    for (const charge of this._capacity.listShapeCharges(job.spec)) {
      const found = this._capacity.findGuaranteedPlacement(job.spec, charge, isUsable)
      if (found === undefined) continue
      if (found.victims.length === 0) {
        this._startJob(job, found.places, charge.keys)
        return true
      }
      for (const victim of found.victims) {
        if (!victim.job.isStopping) this._actions.push({ kind: 'reclaim', jobId: victim.job.spec.id, how: victim.how, forJob: job.spec.id })
      }
      this._capacity.takeResources(found.places, job.spec)
      return true
    }
    return false
  }

  private _startJob (job: WaitingJob, places: readonly number[], coveredBy: readonly string[]): void {
    this._capacity.takeResources(places, job.spec)
    if (coveredBy.length === 0 && job.spec.isCheckpointable) this._capacity.recordStartedBorrower(places, job.spec)
    this._dropReservation(job.spec.id)
    const placement = places.map(worker => this._fleet.workers[worker]?.id ?? '')
    this._actions.push({ kind: 'start', jobId: job.spec.id, placement, coveredBy })
  }

  /** Returns a filter that excludes the workers on which the job has failed, and those where the job would delay a reservation. */
  private _makeWorkerFilter (job: WaitingJob): (worker: number) => boolean {
    const { spec } = job
    const hasFailed = this._options.failureAttribution.hasFailed(spec.id)
    let endAt: number | undefined
    return worker => {
      if (hasFailed && this._options.failureAttribution.hasFailedOn(spec.id, this._fleet.workers[worker]?.id ?? '')) return false
      const until = this._reservedUntil[worker] ?? Infinity
      if (until === Infinity || this._reservedFor.get(worker) === spec.id) return true
      endAt ??= this._now + this._options.runTimes.predictRemainingMs(spec, job.doneMs, HIGH_QUANTILE)
      return endAt <= until
    }
  }

  private _reserveWorkers (job: WaitingJob): void {
    const { spec } = job
    if (spec.shape.accelerators * spec.tasks < this._options.minReservedAccelerators) return
    if (this._now - job.submittedAt < RESERVATION_WAIT_SHARE * spec.finishWithinMs) return
    if (this._reservations.has(spec.id) || !this._isReservationAllowed(spec)) return
    const isUnreserved = (worker: number): boolean => !this._reservedFor.has(worker)
    const found = findEarliestStart(this._fleet, spec, this._listExpectedEnds(), isUnreserved, this._now)
    if (found === undefined) return
    const workers = [...new Set(found.places)].map(worker => this._fleet.workers[worker]?.id ?? '')
    const reservation = { jobId: spec.id, workers, expectedStartAt: found.startAt }
    this._reservations.set(spec.id, reservation)
    this._markReserved(reservation)
    this._actions.push({ kind: 'reserve', jobId: spec.id, workers, expectedStartAt: found.startAt })
  }

  private _isReservationAllowed (spec: JobSpec): boolean {
    if (this._reservations.size === 0) return true
    let reserved = spec.shape.accelerators * spec.tasks
    for (const worker of this._reservedFor.keys()) reserved += this._fleet.workers[worker]?.accelerators ?? 0
    const total = this._fleet.workers.reduce((sum, worker) => sum + worker.accelerators, 0)
    return reserved <= total * this._options.maxReservedShare
  }

  private _listExpectedEnds (): ExpectedEnd[] {
    this._expectedEnds ??= this._snapshot.running.map(job => {
      const attainedMs = job.doneMs + this._now - job.startedAt
      const remainingMs = job.isStopping ? 0 : this._options.runTimes.predictRemainingMs(job.spec, attainedMs, MEDIAN_QUANTILE)
      return { job, places: this._fleet.listWorkerIndexes(job.placement), endAt: this._now + remainingMs }
    }).sort((a, b) => a.endAt - b.endAt)
    return this._expectedEnds
  }
}

/** Returns the full capacity of all known workers, including those that are not ready. */
function makeTotalCapacity (fleet: FleetModel): CapacityTable {
  const table = new CapacityTable(fleet.workers.length)
  fleet.workers.forEach((facts, worker) => table.add(worker, facts, 1))
  return table
}
