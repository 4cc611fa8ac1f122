/**
 * One planning pass: takes back starts that were not confirmed, gives waiting steps their places in order, and makes room for
 * guaranteed work of priority 0.
 */
import { CapacityReclaim } from './capacityReclaim.js'
import { computeCoreSeconds } from './coreSeconds.js'
import { FleetSketch } from './fleetSketch.js'
import { findGuaranteedJobs } from './guaranteedJobs.js'
import { RunPhase, listTasks } from './jobState.js'
import type { JobState, RunState, StepState } from './jobState.js'
import { RackPlacement } from './placement.js'
import type { PlannerLog } from './plannerLog.js'
import type { PlannerPolicy } from './plannerPolicy.js'
import type { PlannerTimes } from './plannerTimes.js'
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

/** A task on its own has no others that wait for it; agents that just started take seconds of processor time to answer. */
const SINGLE_CONFIRM_FACTOR = 2
/** After this long a job of which nothing runs takes any place, while half of the fleet is free; the users allow it 3 s. */
const IDLE_PATIENCE_MS = 1_500
const IDLE_SHARE = 0.5

export class GraphPass {
  private readonly _parts: GraphPassParts
  private readonly _placement: RackPlacement
  private readonly _reclaim: CapacityReclaim
  private _queues: PlannerPolicy['queues'] = []
  private _priorities: ReadonlyMap<string, number> = new Map()
  private _now = 0
  private readonly _urgent = new Set<StepState>()

  constructor (parts: GraphPassParts) {
    this._parts = parts
    this._placement = new RackPlacement({
      isEligible: (worker, step) => this._isEligible(worker, step),
      getTaskLimit: (worker, step) => this._getTaskLimit(worker, step),
      isPatienceOver: waiting => this._isPatienceOver(waiting),
      countFailures: worker => parts.trust.countFailures(worker.key.id)
    })
    const { times, runTimes, ledger, log } = parts
    this._reclaim = new CapacityReclaim({
      times,
      runTimes,
      ledger,
      log,
      placement: this._placement,
      isEligible: (worker, step) => this._isEligible(worker, step),
      getTaskLimit: (worker, step) => this._getTaskLimit(worker, step),
      getPriority: job => this._getPriority(job)
    })
  }

  /** Runs the pass over the jobs that have not ended. */
  run (jobs: readonly JobState[], policy: PlannerPolicy, now: number): void {
    this._setPriorities(policy.queues)
    this._now = now
    for (const worker of this._parts.book.list()) {
      this._takeBackUnconfirmed(worker)
      this._evacuate(worker)
      this._moveStalled(worker)
    }
    const waiting = this._parts.order.sort(jobs.flatMap(job => listWaitingSteps(job, now)), now)
    if (waiting.length === 0) return
    const sketch = new FleetSketch(this._parts.book.list())
    this._noteUrgent(waiting)
    const guaranteed = findGuaranteedJobs(jobs, policy, job => this._getPriority(job))
    this._reclaim.begin(sketch, waiting, guaranteed, now)
    const first = waiting.filter(({ step }) => guaranteed.has(step.job))
    const others = waiting.filter(({ step }) => !guaranteed.has(step.job))
    for (const one of [...first, ...others]) this._placeStep(one, sketch)
  }

  /** Core-seconds of all of a job's tasks. */
  computeWork (job: JobState): number {
    return job.graph.steps.reduce((sum, step) => sum + step.count * computeCoreSeconds(step, step.estimatedMs), 0)
  }

  private _takeBackUnconfirmed (worker: WorkerState): void {
    // A worker that has not reported to this planner yet may run what is in the records.
    if (worker.firstContactAt === undefined) return
    for (const run of worker.runs) {
      if (run.phase !== RunPhase.assigned) continue
      const limitMs = this._parts.times.startConfirmMs * (run.task.step.spec.isGang ? 1 : SINGLE_CONFIRM_FACTOR)
      if (this._now - Math.max(run.assignedAt, worker.firstContactAt) < limitMs) continue
      this._parts.ledger.stopWithGang(run, 'the start was not confirmed in time', 'a member of the gang was not started in time', this._now)
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
      this._reclaim.end(step)
      return
    }
    const left = waiting.tasks.filter(task => task.runs.length === 0)
    if (this._getPriority(step.job) === 0) this._reclaim.makeRoom({ ...waiting, tasks: left }, sketch)
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

  /** The declarations may hold a thousand queues, and priorities are asked for in each decision. */
  private _setPriorities (queues: PlannerPolicy['queues']): void {
    if (queues === this._queues) return
    this._queues = queues
    this._priorities = new Map(queues.map(queue => [queue.name, queue.priority]))
  }

  private _getPriority (job: JobState): number {
    const { queue } = job.graph
    return this._priorities.get(queue.name) ?? queue.priority
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
