/**
 * One planning pass: takes back starts that were not confirmed, gives waiting steps their places in order, and makes room for
 * guaranteed work of priority 0.
 */
import { computeCoreSeconds } from './coreSeconds.js'
import { FleetSketch } from './fleetSketch.js'
import type { HeldPlaces } from './fleetSketch.js'
import { RunPhase, isActive, listTasks } from './jobState.js'
import type { JobState, RunState, StepState } from './jobState.js'
import { RackPlacement } from './placement.js'
import type { PlannerLog } from './plannerLog.js'
import type { PlannerPolicy } from './plannerPolicy.js'
import type { PlannerTimes } from './plannerTimes.js'
import { chooseReclaim } from './reclaimChoice.js'
import type { RunLedger } from './runLedger.js'
import { estimateWorkedMs, measureStall, predictEnd } from './runProgress.js'
import type { RunTimes } from './runTimes.js'
import { listWaitingSteps } from './waitingStep.js'
import type { WaitingOrder, WaitingStep } from './waitingStep.js'
import type { WorkerBook } from './workerBook.js'
import type { WorkerState } from './workerState.js'
import type { WorkerTrust } from './workerTrust.js'

/** What a pass works with. */
export interface GraphPassParts {
  readonly book: WorkerBook
  readonly ledger: RunLedger
  readonly trust: WorkerTrust
  readonly runTimes: RunTimes
  readonly order: WaitingOrder
  readonly times: PlannerTimes
  readonly log: PlannerLog
}

interface Hold {
  readonly places: HeldPlaces
  readonly until: number
}

/** A task on its own has no others that wait for it; agents that just started take seconds of processor time to answer. */
const SINGLE_CONFIRM_FACTOR = 2
/** After this long a job of which nothing runs takes any place, while half of the fleet is free; the users allow it 3 s. */
const IDLE_PATIENCE_MS = 1_500
const IDLE_SHARE = 0.5
/** Time from an order to stop until a start in its place, beside the stop itself, in milliseconds. */
const RECLAIM_ORDER_MS = 700
/** Core-seconds whose loss is worth more than one urgent job in time, by the users' prices (0.003 each) and values (0.8 of 4 late). */
const COSTLY_LOSS = 400
/** Work of priority 0 beyond its guarantee may stop other work that loses at most this share of what it does itself. */
const BEYOND_GUARANTEE_SHARE = 0.1
/** Lost work of priority 0 against that of others: the users value it at 4 against 3 and 1. */
const URGENT_VICTIM_WEIGHT = 2
/** A hold ends when its step has not come to its place within this many bounds for taking capacity back. */
const HOLD_BOUNDS = 2

export class GraphPass {
  private readonly _parts: GraphPassParts
  private readonly _placement: RackPlacement
  private readonly _holds = new Map<StepState, Hold>()
  private _policy: PlannerPolicy = { queues: [], guarantees: [] }
  private _now = 0
  private readonly _urgent = new Set<StepState>()
  private _guaranteed: ReadonlySet<JobState> = new Set()

  constructor (parts: GraphPassParts) {
    this._parts = parts
    this._placement = new RackPlacement({
      isEligible: (worker, step) => this._isEligible(worker, step),
      getTaskLimit: (worker, step) => this._getTaskLimit(worker, step),
      isPatienceOver: waiting => this._isPatienceOver(waiting)
    })
  }

  /** Runs the pass over all jobs. */
  run (jobs: readonly JobState[], policy: PlannerPolicy, now: number): void {
    this._policy = policy
    this._now = now
    for (const job of jobs) this._takeBackUnconfirmed(job)
    for (const worker of this._parts.book.list()) {
      this._evacuate(worker)
      this._moveStalled(worker)
    }
    const waiting = this._parts.order.sort(jobs.flatMap(job => listWaitingSteps(job, now)), now)
    if (waiting.length === 0) return
    const sketch = new FleetSketch(this._parts.book.list())
    this._noteUrgent(waiting)
    this._applyHolds(sketch, waiting)
    this._guaranteed = this._findGuaranteed(jobs)
    const first = waiting.filter(({ step }) => this._guaranteed.has(step.job))
    const others = waiting.filter(({ step }) => !this._guaranteed.has(step.job))
    for (const one of [...first, ...others]) this._placeStep(one, sketch)
  }

  /** Core-seconds of all of a job's tasks. */
  computeWork (job: JobState): number {
    return job.graph.steps.reduce((sum, step) => sum + step.count * computeCoreSeconds(step, step.estimatedMs), 0)
  }

  private _takeBackUnconfirmed (job: JobState): void {
    for (const task of listTasks(job)) {
      for (const run of task.runs) {
        const worker = this._parts.book.get(run.worker)
        // A worker that has not reported to this planner yet may run what is in the records.
        if (run.phase !== RunPhase.assigned || worker === undefined || worker.firstContactAt === undefined) continue
        const limitMs = this._parts.times.startConfirmMs * (run.task.step.spec.isGang ? 1 : SINGLE_CONFIRM_FACTOR)
        if (this._now - Math.max(run.assignedAt, worker.firstContactAt) < limitMs) continue
        this._parts.ledger.stopWithGang(run, 'the start was not confirmed in time', 'a member of the gang was not started in time', this._now)
      }
    }
  }

  /** Stops at a worker that leaves what can't end there in time; a stop saves the work of tasks that make checkpoints. */
  private _evacuate (worker: WorkerState): void {
    const { drainsUntil } = worker
    if (drainsUntil === undefined) return
    for (const run of worker.runs) {
      if (run.phase === RunPhase.stopping || this._predictEnd(run) <= drainsUntil) continue
      this._parts.ledger.stopWithGang(run, 'its worker leaves', 'a worker of the gang leaves', this._now)
    }
  }

  /**
   * Moves runs that stand still. Waiting may still be cheaper than beginning anew, so that a run moves once it has stood still for
   * as long as the work that a stop throws away took; meanwhile its worker gets nothing new.
   */
  private _moveStalled (worker: WorkerState): void {
    for (const run of worker.runs) {
      const stalledMs = measureStall(run, Math.min(this._now, worker.listedAt))
      if (stalledMs === undefined) continue
      this._parts.trust.recordStall(run, this._now)
      const workedMs = estimateWorkedMs(run, run.percentMovedAt, this._parts.runTimes.estimate(run.task.step))
      const lostMs = run.task.step.spec.isCheckpointing ? Math.min(workedMs, this._parts.times.checkpointMs) : workedMs
      if (stalledMs < lostMs) continue
      this._parts.ledger.stopWithGang(run, 'it stands still', 'a member of the gang stands still', this._now)
    }
  }

  private _placeStep (waiting: WaitingStep, sketch: FleetSketch): void {
    const { step } = waiting
    sketch.release(step)
    const placed = this._placement.place(waiting, sketch)
    for (const { worker } of placed) sketch.take(worker, step.spec)
    if (placed.length > 0) this._parts.ledger.begin(placed.map(one => ({ ...one, ticket: undefined })), this._now)
    if (placed.length === waiting.tasks.length) {
      this._holds.delete(step)
      return
    }
    const left = waiting.tasks.filter(task => task.runs.length === 0)
    if (this._getPriority(step.job) === 0) this._reclaim({ ...waiting, tasks: left }, sketch)
  }

  private _reclaim (waiting: WaitingStep, sketch: FleetSketch): void {
    const { step } = waiting
    const isGuaranteed = this._guaranteed.has(step.job)
    const held = this._holds.get(step)
    if (held !== undefined) return sketch.hold(step, held.places)
    const plan = chooseReclaim(waiting, sketch, {
      isEligible: (worker, one) => this._isEligible(worker, one),
      getTaskLimit: (worker, one) => this._getTaskLimit(worker, one),
      getVictimWeight: run => this._getVictimWeight(run, isGuaranteed),
      estimateWorkedMs: run => estimateWorkedMs(run, this._now, this._parts.runTimes.estimate(run.task.step)),
      checkpointMs: this._parts.times.checkpointMs
    })
    const coming = this._findComing(waiting, sketch, plan !== undefined && plan.loss > COSTLY_LOSS)
    if (coming !== undefined) return sketch.hold(step, coming)
    if (plan === undefined) return
    if (!isGuaranteed && plan.loss > this._computeStepWork(waiting) * BEYOND_GUARANTEE_SHARE) return
    this._parts.log.note('capacity taken back', { step: step.name, victims: plan.victims.map(run => run.task.name), loss: Math.round(plan.loss), waitedMs: this._now - waiting.since })
    for (const run of plan.victims) this._parts.ledger.stop(run, `capacity taken back for ${step.name}`, this._now)
    this._holds.set(step, { places: plan.places, until: this._now + HOLD_BOUNDS * this._parts.times.reclaimMs })
    sketch.hold(step, plan.places)
  }

  /** Core-seconds of the waiting tasks. */
  private _computeStepWork (waiting: WaitingStep): number {
    return waiting.tasks.length * computeCoreSeconds(waiting.step.spec, this._parts.runTimes.estimate(waiting.step))
  }

  /**
   * Places that will be free soon enough without stopping anything; undefined when there aren't enough. While a stop is cheap, soon
   * enough is in time for the objective; else it is within the bound for taking capacity back, though late.
   */
  private _findComing (waiting: WaitingStep, sketch: FleetSketch, isStopCostly: boolean): Map<WorkerState, number> | undefined {
    const { step } = waiting
    const { queue } = step.job.graph
    const ownMs = this._parts.runTimes.estimate(step)
    const slackMs = (queue.stretch - 1) * ownMs + queue.targetLatencyMs
    const { reclaimMs } = this._parts.times
    const waitMs = (isStopCostly ? reclaimMs : Math.min(reclaimMs, slackMs)) - this._parts.times.stopGraceMs - RECLAIM_ORDER_MS
    const until = waiting.since + waitMs
    if (this._now >= until) return undefined
    const future = sketch.copy()
    for (const worker of sketch.workers) {
      for (const run of worker.runs) if (this._predictEnd(run) < until) future.return(worker, run.task.step.spec)
    }
    const placed = this._placement.place(waiting, future)
    if (placed.length < waiting.tasks.length) return undefined
    const places = new Map<WorkerState, number>()
    for (const { worker } of placed) places.set(worker, (places.get(worker) ?? 0) + 1)
    return places
  }

  private _predictEnd (run: RunState): number {
    return predictEnd(run, this._now, this._parts.runTimes.estimate(run.task.step), this._parts.times.stopGraceMs)
  }

  /** While much of the fleet is free, notes the steps whose job has waited long with nothing running. */
  private _noteUrgent (waiting: readonly WaitingStep[]): void {
    let used = 0
    let all = 0
    for (const worker of this._parts.book.list()) {
      all += worker.capacity.accelerators
      for (const run of worker.runs) used += run.task.step.spec.accelerators
    }
    this._urgent.clear()
    if (used >= all * IDLE_SHARE) return
    for (const { step, since } of waiting) {
      const isRunning = listTasks(step.job).some(task => task.runs.length > 0)
      if (!isRunning && this._now - since > IDLE_PATIENCE_MS) this._urgent.add(step)
    }
  }

  private _applyHolds (sketch: FleetSketch, waiting: readonly WaitingStep[]): void {
    const steps = new Set(waiting.map(one => one.step))
    for (const [step, hold] of this._holds) {
      const isUsable = [...hold.places.keys()].every(worker => this._isEligible(worker, step))
      if (!steps.has(step) || this._now > hold.until || !isUsable) this._holds.delete(step)
      else sketch.hold(step, hold.places)
    }
  }

  /** Jobs of priority 0 whose organisation has not more of them than its guarantee covers. */
  private _findGuaranteed (jobs: readonly JobState[]): Set<JobState> {
    const byOrganisation = new Map<string, JobState[]>()
    for (const job of jobs) {
      if (!isActive(job) || this._getPriority(job) !== 0) continue
      byOrganisation.set(job.graph.organisation, [...byOrganisation.get(job.graph.organisation) ?? [], job])
    }
    const guaranteed = new Set<JobState>()
    for (const { organisation, accelerators } of this._policy.guarantees) {
      const own = (byOrganisation.get(organisation) ?? []).sort((a, b) => a.graph.acceptedAt - b.graph.acceptedAt)
      let used = 0
      for (const job of own) {
        used += countAccelerators(job)
        if (used <= accelerators) guaranteed.add(job)
      }
    }
    return guaranteed
  }

  private _getPriority (job: JobState): number {
    const { queue } = job.graph
    return this._policy.queues.find(one => one.name === queue.name)?.priority ?? queue.priority
  }

  /** What a guarantee covers is never stopped; urgent work beyond one is, but only for work that a guarantee covers. */
  private _getVictimWeight (run: RunState, isForGuaranteed: boolean): number {
    const { job, spec } = run.task.step
    if (spec.isLongRunning) return Infinity
    if (this._getPriority(job) > 0) return 1
    return isForGuaranteed && !this._guaranteed.has(job) ? URGENT_VICTIM_WEIGHT : Infinity
  }

  private _isEligible (worker: WorkerState, step: StepState): boolean {
    const { report } = worker
    if (report === undefined || report.isDraining || !this._parts.book.isInTouch(worker, this._now)) return false
    if (report.service !== step.job.graph.queue.service) return false
    const { requiredLabel } = step.spec
    if (requiredLabel !== undefined && !report.labels.includes(requiredLabel)) return false
    return this._urgent.has(step) || !this._parts.trust.isAvoided(worker.key.id, this._now)
  }

  private _getTaskLimit (worker: WorkerState, step: StepState): number {
    const onProbation = this._parts.trust.isOnProbation(worker.key.id) && !this._urgent.has(step) ? Math.max(0, 1 - worker.runs.size) : Infinity
    const { maxPerWorker } = step.spec
    if (maxPerWorker === undefined) return onProbation
    let here = 0
    for (const run of worker.runs) if (run.task.step === step) here++
    return Math.min(onProbation, Math.max(0, maxPerWorker - here))
  }

  /** Waiting longer than the detour costs is worse than the detour. */
  private _isPatienceOver (waiting: WaitingStep): boolean {
    const detourMs = this._parts.runTimes.estimate(waiting.step) * (this._parts.times.remoteFactor - 1)
    return this._now - waiting.since > detourMs || this._urgent.has(waiting.step)
  }
}

function countAccelerators (job: JobState): number {
  return job.graph.steps.reduce((sum, step) => sum + step.count * step.accelerators, 0)
}
