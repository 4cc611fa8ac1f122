/**
 * Reclaims capacity for work of priority 0 (urgent work). Waits for slots that become free in time, or else stops the runs that lose the
 * least work, and reserves their slots until they are free. Work that a guarantee covers gets its slots within the maximum reclaim time
 * (`reclaimMs`) at any cost; urgent work beyond the guarantee stops only work whose loss is worth less than finishing the urgent work in
 * time. Where workers differ in speed, it stops work only at workers that are fast enough for the urgent work to finish in time.
 */
import type { ClassShares } from './classShares.js'
import { computeCoreSeconds, computeValueFactor } from './coreSeconds.js'
import type { CapacityForecast } from './capacityForecast.js'
import type { CapacitySnapshot, ReservedSlots } from './capacitySnapshot.js'
import { RunPhase } from './jobState.js'
import type { JobState, RunState, StepState } from './jobState.js'
import type { PlannerLog } from './plannerLog.js'
import type { PlannerTimes } from './plannerTimes.js'
import { chooseReclaimPlan } from './reclaimPlan.js'
import type { ReclaimDependencies, ReclaimPlan } from './reclaimPlan.js'
import type { RunTracker } from './runTracker.js'
import { estimateWorkedMs } from './runProgress.js'
import type { RunTimeEstimator } from './runTimeEstimator.js'
import type { SpeedFit } from './speedFit.js'
import { VictimCatalogue } from './victimCatalogue.js'
import type { WaitingStep } from './waitingStep.js'
import type { WorkerState } from './workerState.js'

/** Dependencies of {@link CapacityReclaim}. */
export interface CapacityReclaimDependencies {
  readonly times: PlannerTimes
  readonly runTimes: RunTimeEstimator
  readonly runTracker: RunTracker
  readonly log: PlannerLog
  readonly classShares: ClassShares
  readonly forecast: CapacityForecast
  readonly isEligible: (worker: WorkerState, step: StepState) => boolean
  readonly getTaskLimit: (worker: WorkerState, step: StepState) => number
  readonly getPriority: (job: JobState) => number
  readonly speedFit: SpeedFit
}

interface SlotReservation {
  readonly slots: ReservedSlots
  readonly until: number
}

/** Time from a stop order until another run starts in the slot, in milliseconds, without the time that the run takes to stop. */
const STOP_ORDER_MS = 700
/**
 * Work whose loss costs as much as an urgent job of mean size gains by finishing in time instead of late, as a multiple of the mean
 * core-seconds of the queue's jobs. The price of a lost core-second falls with the size of the fleet and of its jobs, so a fixed
 * number of core-seconds would not fit both small and large fleets. Stopping an urgent job costs the same, since it is then late.
 */
const URGENT_VALUE_WORK = 2
/** Urgent work that will miss its objective in any case may stop other work if the loss is at most this share of the urgent core-seconds. */
const MAX_LATE_LOSS_SHARE = 0.1
/** Lifetime of a reservation, as a multiple of `reclaimMs`; a reservation expires if its step has not been placed by then. */
const RESERVATION_LIFETIME_FACTOR = 2

export class CapacityReclaim {
  private readonly _dependencies: CapacityReclaimDependencies
  private readonly _reservations = new Map<StepState, SlotReservation>()
  /** Runs that may be stopped for urgent work of a queue; for work that a guarantee covers, the key is undefined. */
  private readonly _victims = new Map<string | undefined, VictimCatalogue>()
  private readonly _planDependencies: Pick<ReclaimDependencies, 'getTaskLimit' | 'isStopOverdue'>
  private _guaranteed: ReadonlySet<JobState> = new Set()
  private _now = 0

  constructor (dependencies: CapacityReclaimDependencies) {
    this._dependencies = dependencies
    this._planDependencies = { getTaskLimit: dependencies.getTaskLimit, isStopOverdue: run => this._isStopOverdue(run) }
  }

  /**
   * Begins a scheduler pass: drops reservations that have expired, whose step no longer waits, whose workers are not eligible any more or do not stop their runs,
   * and applies the others to the snapshot.
   */
  beginPass (snapshot: CapacitySnapshot, waiting: readonly WaitingStep[], guaranteed: ReadonlySet<JobState>, now: number): void {
    this._guaranteed = guaranteed
    this._now = now
    this._forgetRuns()
    const steps = new Set(waiting.map(entry => entry.step))
    for (const [step, reservation] of this._reservations) {
      const isUsable = [...reservation.slots.keys()].every(worker => this._dependencies.isEligible(worker, step) && !this._hasOverdueStop(worker))
      if (!steps.has(step) || now > reservation.until || !isUsable) this._reservations.delete(step)
      else snapshot.reserve(step, reservation.slots)
    }
  }

  /** Drops the reservation of a step that has been placed completely. */
  dropReservation (step: StepState): void {
    this._reservations.delete(step)
  }

  /** Reserves slots for a step that could not be placed, by waiting for slots to become free or by stopping other work. */
  reclaimFor (waiting: WaitingStep, snapshot: CapacitySnapshot): void {
    const { step } = waiting
    const reservation = this._reservations.get(step)
    if (reservation !== undefined) return snapshot.reserve(step, reservation.slots)
    const maxLoss = this._computeMaxLoss(waiting, this._guaranteed.has(step.job))
    const urgentValue = this._computeUrgentValue(step.job)
    const plan = this._chooseReclaimPlan(waiting, snapshot, Math.max(maxLoss, urgentValue))
    const isStopCostly = plan !== undefined && plan.loss > urgentValue
    const expectedSlots = this._dependencies.speedFit.isActive && !isStopCostly ? this._findFastSlots(waiting, snapshot, plan) : this._findExpectedSlots(waiting, snapshot, isStopCostly)
    if (expectedSlots !== undefined) return snapshot.reserve(step, expectedSlots)
    if (plan !== undefined && plan.loss <= maxLoss) this._applyPlan(plan, waiting, snapshot)
  }

  /** Reserves the slots again that were reclaimed for a step, if it still meets its objective there. */
  reserveAgain (step: StepState, snapshot: CapacitySnapshot): boolean {
    const slots = this._reservations.get(step)?.slots
    if (slots === undefined || ![...slots.keys()].every(worker => this._dependencies.speedFit.isFit(worker, step))) return false
    snapshot.reserve(step, slots)
    return true
  }

  /**
   * Reserves slots at faster workers, at which a step then meets its objective, by stopping other work. Returns false when there are none or the loss is too
   * high. A guarantee promises slots, not fast ones, so it allows no higher loss here.
   */
  reclaimFasterFor (waiting: WaitingStep, snapshot: CapacitySnapshot): boolean {
    if (this._reservations.has(waiting.step)) return false
    const maxLoss = this._computeMaxLoss(waiting, false)
    const plan = maxLoss === 0 ? undefined : this._chooseFitPlan(waiting, snapshot, maxLoss)
    if (plan === undefined || plan.loss > maxLoss) return false
    this._applyPlan(plan, waiting, snapshot)
    return true
  }

  private _applyPlan (plan: ReclaimPlan, waiting: WaitingStep, snapshot: CapacitySnapshot): void {
    const { step } = waiting
    this._noteReclaim(waiting, plan)
    for (const run of plan.victims) this._dependencies.runTracker.stop(run, `capacity taken back for ${step.name}`, this._now)
    this._forgetRuns()
    this._reservations.set(step, { slots: plan.slots, until: this._now + RESERVATION_LIFETIME_FACTOR * this._dependencies.times.reclaimMs })
    snapshot.reserve(step, plan.slots)
  }

  private _noteReclaim (waiting: WaitingStep, plan: ReclaimPlan): void {
    const { step } = waiting
    this._dependencies.log.note('capacity taken back', {
      step: step.name,
      queue: step.job.graph.queue.name,
      isGuaranteed: this._guaranteed.has(step.job),
      victims: plan.victims.map(run => run.task.name),
      victimStarts: Math.max(0, ...plan.victims.map(run => run.number)),
      loss: Math.round(plan.loss),
      waitedMs: this._now - waiting.since,
      shares: Object.fromEntries([...this._dependencies.classShares.getShares()].map(([queue, share]) => [queue, Number(share.toFixed(2))]))
    })
  }

  /**
   * Chooses the runs to stop; where speeds differ, for slots at which the step meets its objective. Work that a guarantee covers takes slower slots if the
   * faster ones cost more than ending in time is worth.
   */
  private _chooseReclaimPlan (waiting: WaitingStep, snapshot: CapacitySnapshot, maxLoss: number): ReclaimPlan | undefined {
    const { isEligible, speedFit } = this._dependencies
    const { job } = waiting.step
    const fitPlan = speedFit.isActive ? this._chooseFitPlan(waiting, snapshot, maxLoss) : undefined
    const inTimeValue = this._computeUrgentValue(job)
    if (speedFit.isActive && (!this._guaranteed.has(job) || (fitPlan !== undefined && fitPlan.loss <= inTimeValue))) return fitPlan
    const plan = chooseReclaimPlan(waiting, snapshot, { ...this._planDependencies, isEligible, victims: this._getVictimCatalogue(job) }, maxLoss)
    return fitPlan !== undefined && plan !== undefined && fitPlan.loss <= plan.loss + inTimeValue ? fitPlan : plan
  }

  private _chooseFitPlan (waiting: WaitingStep, snapshot: CapacitySnapshot, maxLoss: number): ReclaimPlan | undefined {
    const { isEligible, speedFit, times } = this._dependencies
    const startsAt = this._now + times.stopGraceMs + STOP_ORDER_MS
    if (!speedFit.hasObjectiveInReach(waiting.step, startsAt)) return undefined
    const isFit = (worker: WorkerState, step: StepState): boolean => isEligible(worker, step) && speedFit.isFit(worker, step, startsAt)
    return chooseReclaimPlan(waiting, snapshot, { ...this._planDependencies, isEligible: isFit, victims: this._getVictimCatalogue(waiting.step.job) }, maxLoss)
  }

  private _hasOverdueStop (worker: WorkerState): boolean {
    for (const run of worker.runs) if (this._isStopOverdue(run)) return true
    return false
  }

  /** True for a run that should have stopped within the maximum reclaim time, and has not been reported as ended. */
  private _isStopOverdue (run: RunState): boolean {
    return run.phase === RunPhase.stopping && run.task.runs.includes(run) && this._now - (run.stoppingSince ?? this._now) > this._dependencies.times.reclaimMs
  }

  private _getVictimCatalogue (job: JobState): VictimCatalogue {
    const queue = this._guaranteed.has(job) ? undefined : job.graph.queue.name
    const known = this._victims.get(queue)
    if (known !== undefined) return known
    const created = this._createVictimCatalogue(run => queue === undefined ? this._getStopCostForGuaranteed(run) : this._getStopCostForOthers(run, queue))
    this._victims.set(queue, created)
    return created
  }

  private _createVictimCatalogue (getStopCost: (run: RunState) => number): VictimCatalogue {
    return new VictimCatalogue({
      getStopCost,
      estimateWorkedMs: run => estimateWorkedMs(run, this._now, this._estimateRunTime(run.task.step) * this._dependencies.speedFit.getSpeed(run.worker.id).factor),
      checkpointMs: this._dependencies.times.checkpointMs
    })
  }

  /** Forgets what was computed for the runs of this pass, since some of them have been stopped or a new pass begins. */
  private _forgetRuns (): void {
    this._dependencies.forecast.clear()
    this._victims.clear()
  }

  /**
   * Returns the cost of stopping a run for work that a guarantee covers, in core-seconds and without the work that the run loses; Infinity when the
   * run must not be stopped. Urgent work that a guarantee covers is never stopped.
   */
  private _getStopCostForGuaranteed (run: RunState): number {
    const { job, spec } = run.task.step
    if (spec.isLongRunning || this._guaranteed.has(job)) return Infinity
    return this._dependencies.getPriority(job) > 0 ? 0 : this._computeUrgentValue(job)
  }

  /**
   * Returns the same cost for urgent work of a queue that no guarantee covers. Such work stops no urgent work, and no work of a class that is
   * served worse than its own: a gang that has just started loses no work, so it would be stopped again and again during a burst.
   */
  private _getStopCostForOthers (run: RunState, queue: string): number {
    const { job, spec } = run.task.step
    if (spec.isLongRunning || this._dependencies.getPriority(job) === 0) return Infinity
    return this._dependencies.classShares.isServedWorse(job.graph.queue.name, queue) ? Infinity : 0
  }

  /** Returns the core-seconds whose loss costs as much as an urgent job of mean size of the same queue gains by finishing in time. */
  private _computeUrgentValue (job: JobState): number {
    return URGENT_VALUE_WORK * (this._dependencies.runTimes.getMeanCoreSeconds(job.graph.queue.name) ?? 0)
  }

  /** Returns the maximum loss, in core-seconds, that other work may suffer to make room for a step. */
  private _computeMaxLoss (waiting: WaitingStep, isGuaranteed: boolean): number {
    const { step } = waiting
    if (isGuaranteed) return Infinity
    const coreSeconds = waiting.tasks.length * computeCoreSeconds(step.spec, this._estimateRunTime(step))
    const minAllowance = this._dependencies.speedFit.isActive ? 0 : coreSeconds * MAX_LATE_LOSS_SHARE
    if (!this._isObjectiveInReach(waiting)) return minAllowance
    return Math.max(minAllowance, this._computeUrgentValue(step.job) * computeValueFactor(coreSeconds, this._dependencies.runTimes.getMeanCoreSeconds(step.job.graph.queue.name)))
  }

  /** True if a step meets its objective in slots that are reclaimed now. */
  private _isObjectiveInReach ({ step, since }: WaitingStep): boolean {
    const { speedFit, times } = this._dependencies
    const reclaimMs = times.stopGraceMs + STOP_ORDER_MS
    return speedFit.isActive ? speedFit.hasObjectiveInReach(step, this._now + reclaimMs) : this._computeSlack(step) - reclaimMs - (this._now - since) >= 0
  }

  /** Returns how long a step may wait, in milliseconds, and still meet the objective for the duration of its job. */
  private _computeSlack (step: StepState): number {
    const { queue } = step.job.graph
    return (queue.stretch - 1) * this._estimateRunTime(step) + queue.targetLatencyMs
  }

  /**
   * Returns slots that will become free so soon that no run has to be stopped for the step; undefined when there are too few. If stopping
   * runs would lose little work, the slots must become free in time for the step to meet its objective. If a stop is costly, they must
   * become free within the maximum reclaim time, even if the step then misses its objective.
   */
  private _findExpectedSlots (waiting: WaitingStep, snapshot: CapacitySnapshot, isStopCostly: boolean): ReservedSlots | undefined {
    const { reclaimMs, stopGraceMs } = this._dependencies.times
    const waitMs = (isStopCostly ? reclaimMs : Math.min(reclaimMs, this._computeSlack(waiting.step))) - stopGraceMs - STOP_ORDER_MS
    const until = waiting.since + waitMs
    return this._now >= until ? undefined : this._dependencies.forecast.findSlots(waiting, snapshot, until)
  }

  /**
   * Returns slots at fast enough workers that will become free so soon that no run has to be stopped for the step; undefined when there are too few. They
   * must become free while the slots of `plan` could still be reclaimed in time, since runs may end later than predicted.
   */
  private _findFastSlots ({ step, ...waiting }: WaitingStep, snapshot: CapacitySnapshot, plan: ReclaimPlan | undefined): ReservedSlots | undefined {
    const { speedFit, forecast, times } = this._dependencies
    const orderMs = times.stopGraceMs + STOP_ORDER_MS
    const planned = [...plan?.slots.keys() ?? []]
    const isPlanFit = planned.length > 0 && planned.every(worker => speedFit.isFit(worker, step, this._now + orderMs))
    const latestStart = isPlanFit ? Math.min(...planned.map(worker => speedFit.getLatestStart(step, worker))) - orderMs : speedFit.getLatestStart(step)
    return forecast.findSlotsInTime({ step, ...waiting }, snapshot, Math.min(waiting.since + times.reclaimMs - orderMs, latestStart))
  }

  private _estimateRunTime (step: StepState): number {
    return this._dependencies.runTimes.estimateRunTime(step)
  }
}
