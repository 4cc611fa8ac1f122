/**
 * One scheduler pass over all jobs: stops runs that should not go on, places waiting steps in order, with starved work after that of priority 0 and before all
 * other, reclaims capacity for work of priority 0, and reserves slots for other gangs.
 */
import { CapacityForecast } from './capacityForecast.js'
import { CapacityReclaim } from './capacityReclaim.js'
import type { ClassShares } from './classShares.js'
import { isIsolated } from './crashBlame.js'
import { CrashIsolation } from './crashIsolation.js'
import { CapacitySnapshot } from './capacitySnapshot.js'
import type { EvacuatedDomains } from './evacuatedDomains.js'
import { GangReservations } from './gangReservations.js'
import { FasterSlots } from './fasterSlots.js'
import { findGuaranteedJobs } from './guaranteedJobs.js'
import { RunPhase } from './jobState.js'
import type { JobState, RunState, StepState } from './jobState.js'
import { isLastAttempt } from './lastAttempt.js'
import { PassBudget } from './passBudget.js'
import { RackPlacement } from './placement.js'
import type { PlacedTask } from './placement.js'
import type { PlannerLog } from './plannerLog.js'
import type { PlannerPolicy } from './plannerPolicy.js'
import type { PlannerTimes } from './plannerTimes.js'
import { ReleaseAvoidance } from './releaseAvoidance.js'
import type { RunTracker } from './runTracker.js'
import { predictEnd } from './runProgress.js'
import { RunStops } from './runStops.js'
import type { RunTimeEstimator } from './runTimeEstimator.js'
import { SpeedFit } from './speedFit.js'
import type { SpeedSource } from './speedSource.js'
import type { FleetView } from './startForecast.js'
import { StarvedSteps, isNewJob } from './starvedSteps.js'
import { isSteadyRun } from './steadyRun.js'
import type { WaitingOrder, WaitingStep } from './waitingStep.js'
import { WaitingSteps } from './waitingSteps.js'
import type { WorkerRegistry } from './workerRegistry.js'
import type { WorkerState } from './workerState.js'
import type { WorkerHealthTracker } from './workerHealthTracker.js'

/** Dependencies of {@link GraphPass}. */
export interface GraphPassDependencies {
  readonly registry: WorkerRegistry
  readonly runTracker: RunTracker
  readonly workerHealth: WorkerHealthTracker
  readonly runTimes: RunTimeEstimator
  readonly evacuations: EvacuatedDomains
  readonly speeds: SpeedSource
  readonly classShares: ClassShares
  readonly order: WaitingOrder
  readonly times: PlannerTimes
  readonly log: PlannerLog
  /** Returns the time of day in milliseconds since 1970. */
  readonly getWallTime: () => number
}

/**
 * Wait in milliseconds after which a step that should run in one rack starts there in parts. Until then a rack may become free for the whole step, or be reclaimed for it, and the first part binds the step to its rack.
 */
const WHOLE_RACK_WAIT_MS = 2_000
/**
 * Maximum number of runs of a worker whose start is not confirmed, members of gangs aside. Answers to agents and the calls of an agent to its worker are
 * limited, so that more would not be confirmed in time.
 */
const MAX_UNCONFIRMED_RUNS = 256
/** Number of such runs that a worker may have beyond that for tasks that start because their jobs are starved. Urgent work may fill the limit in each pass. */
const MAX_STARVED_UNCONFIRMED_RUNS = 32
/** Number of members up to which the end of a gang is predicted anew for each of its runs. */
const MAX_SMALL_GANG = 64
/** Work of making room for a step, in checks for each worker and each run. */
const FORECAST_CHECKS = 2

export class GraphPass {
  private readonly _dependencies: GraphPassDependencies
  private readonly _placement: RackPlacement
  private readonly _reclaim: CapacityReclaim
  private readonly _gangReservations: GangReservations
  private readonly _forecast: CapacityForecast
  private readonly _speedFit: SpeedFit
  private readonly _fasterSlots: FasterSlots
  private readonly _runStops: RunStops
  private readonly _waitingSteps = new WaitingSteps()
  private readonly _budget = new PassBudget()
  private _queues: PlannerPolicy['queues'] = []
  private _priorities: ReadonlyMap<string, number> = new Map()
  private _now = 0
  private readonly _starvedSteps = new StarvedSteps()
  /** When wide gangs end, and for which time of the planner's clock that was predicted: each of their runs asks. */
  private readonly _gangEnds = new WeakMap<StepState, { readonly at: number, readonly end: number }>()
  /** The starved step that is being placed before its turn. */
  private _stepOutOfOrder: StepState | undefined
  /** The gang whose slots are reserved before other work of the pass is placed. */
  private _gangInTurn: StepState | undefined
  /** The gang in turn of the last pass that had starved steps. */
  private _lastGangInTurn: StepState | undefined
  /** Number of runs whose start is not confirmed, by worker, as far as the pass has asked. */
  private readonly _unconfirmedRuns = new Map<WorkerState, number>()
  /** Steps with a waiting task that has one attempt left. */
  private readonly _lastAttemptSteps = new Set<StepState>()
  private readonly _crashIsolation: CrashIsolation
  private readonly _releaseAvoidance: ReleaseAvoidance

  constructor (dependencies: GraphPassDependencies) {
    this._dependencies = dependencies
    this._crashIsolation = new CrashIsolation({
      workerHealth: dependencies.workerHealth,
      isEligible: (worker, step) => this._isEligibleForAll(worker, step),
      predictEnd: run => this._predictEnd(run),
      isStarved: step => this._starvedSteps.has(step)
    })
    const { times, runTimes, runTracker, classShares, log, speeds, getWallTime } = dependencies
    this._speedFit = new SpeedFit({ speeds, runTimes, getWallTime, remoteFactor: times.remoteFactor })
    this._releaseAvoidance = new ReleaseAvoidance({ runTimes, getWallTime, log, isStarved: step => this._starvedSteps.has(step) })
    this._runStops = new RunStops({ ...dependencies, predictEnd: run => this._predictEnd(run), estimateRunTimeAt: run => this._estimateRunTimeAt(run) })
    this._placement = new RackPlacement({
      speedFit: this._speedFit,
      isEligible: (worker, step) => this._isEligible(worker, step),
      getTaskLimit: (worker, step) => this._getTaskLimit(worker, step),
      isLocalityWaitOver: waiting => this._isLocalityWaitOver(waiting),
      isWholeRackWaitOver: waiting => this._now - waiting.since > WHOLE_RACK_WAIT_MS || this._starvedSteps.has(waiting.step),
      isUsableForLastAttempt: (worker, step) => this._isUsableForLastAttempt(worker, step),
      isCold: worker => worker.isCold(this._now),
      isKeptEmpty: worker => this._crashIsolation.isKeptEmpty(worker),
      chooseWorkersForSuspect: (workers, task) => this._crashIsolation.chooseWorkers(workers, task, this._starvedSteps.has(task.step)),
      countFailures: worker => dependencies.workerHealth.countFailures(worker.key.id, this._now)
    })
    this._forecast = new CapacityForecast({ placement: this._placement, predictEnd: run => this._predictEnd(run), speedFit: this._speedFit })
    this._gangReservations = new GangReservations({ forecast: this._forecast, isEligible: (worker, step) => this._isEligibleForAll(worker, step) })
    this._reclaim = new CapacityReclaim({
      times,
      runTimes,
      runTracker,
      log,
      classShares,
      forecast: this._forecast,
      isEligible: (worker, step) => this._isEligibleForAll(worker, step),
      getTaskLimit: (worker, step) => this._getTaskLimit(worker, step),
      getPriority: job => this._getPriority(job),
      speedFit: this._speedFit
    })
    this._fasterSlots = new FasterSlots({ forecast: this._forecast, reclaim: this._reclaim, speedFit: this._speedFit, isEligible: (worker, step) => this._isEligibleForAll(worker, step), getPriority: job => this._getPriority(job) })
  }

  /** Runs the pass; `jobs` are the jobs that have not ended. */
  run (jobs: readonly JobState[], policy: PlannerPolicy, now: number): void {
    this._setPriorities(policy.queues)
    this._now = now
    this._unconfirmedRuns.clear()
    this._speedFit.beginPass(this._dependencies.registry.listWorkers(), now)
    this._runStops.run(this._dependencies.registry.listWorkers(), now)
    const waiting = this._dependencies.order.sort(this._waitingSteps.select(jobs, now), now)
    if (waiting.length === 0) return this._budget.clear()
    const workers = this._listUsableWorkers()
    const snapshot = new CapacitySnapshot(workers)
    this._starvedSteps.beginPass(waiting, workers, now)
    this._markLastAttempts(waiting)
    const guaranteed = findGuaranteedJobs(jobs, policy, job => this._getPriority(job))
    this._releaseAvoidance.beginPass(waiting, workers, now)
    this._crashIsolation.beginPass(waiting, workers, guaranteed, now)
    this._dependencies.classShares.beginPass()
    this._reclaim.beginPass(snapshot, waiting, guaranteed, now)
    this._gangReservations.beginPass(waiting, now)
    this._fasterSlots.beginPass(waiting, now)
    const first = waiting.filter(({ step }) => guaranteed.has(step.job))
    const others = waiting.filter(({ step }) => !guaranteed.has(step.job))
    this._placeSteps(this._budget.beginPass([...first, ...others]), snapshot)
  }

  /** Places waiting steps in their order, as far as the work of a pass allows. Starved work comes after urgent work and before all other. */
  private _placeSteps (waiting: readonly WaitingStep[], snapshot: CapacitySnapshot): void {
    const runCount = snapshot.workers.reduce((sum, { runs }) => sum + runs.size, 0)
    this._gangInTurn = undefined
    let isStarvedPlaced = false
    for (const [index, listed] of waiting.entries()) {
      if (!isStarvedPlaced && this._getPriority(listed.step.job) > 0) {
        isStarvedPlaced = true
        this._placeStarvedSteps(snapshot)
      }
      const waitingStep = selectUnstarted(listed)
      if (waitingStep.tasks.length === 0 || waitingStep.step === this._gangInTurn) continue
      if (this._budget.isOver(waiting, index)) {
        this._dependencies.log.note('pass ended early', { steps: waiting.length, placed: index, nextJob: waitingStep.step.job.graph.id })
        return
      }
      if (this._budget.isHopeless(waitingStep, snapshot.returns)) continue
      const { changes } = snapshot
      const isForecast = this._placeStep(waitingStep, snapshot)
      this._budget.recordChecks(snapshot.workers.length + waitingStep.tasks.length + (isForecast ? FORECAST_CHECKS * (snapshot.workers.length + runCount) : 0))
      if (snapshot.changes === changes) this._budget.recordFailure(waitingStep, snapshot.returns)
    }
    this._budget.endPass()
    for (const [job, step] of this._budget.skipped) this._waitingSteps.resumeAt(job, step)
  }

  /**
   * Lets one task of each starved job start, also in the room that the pass would keep for gangs. A gang that has starved for long gets the next turn: jobs that have just arrived
   * wait for it, older jobs and work that lasts don't.
   */
  private _placeStarvedSteps (snapshot: CapacitySnapshot): void {
    const starved = this._starvedSteps.listByJob().filter(({ step }) => this._getPriority(step.job) > 0)
    if (starved.length === 0) return
    const wallTime = this._dependencies.getWallTime()
    const newcomers = new Set(starved.filter(({ step }) => !step.spec.isLongRunning && isNewJob(step.job, wallTime)))
    for (const waiting of starved) if (!newcomers.has(waiting)) this._startStarved(waiting, snapshot)
    const gangs = starved.filter(({ step, tasks }) => step.spec.isGang && !tasks.some(isIsolated)).map(selectUnstarted).filter(({ tasks }) => tasks.length > 0)
    this._gangInTurn = this._gangReservations.reserveTurn(gangs, snapshot)
    if (this._gangInTurn !== undefined && this._gangInTurn !== this._lastGangInTurn) this._dependencies.log.note('gang in turn', { step: this._gangInTurn.name, newcomers: newcomers.size })
    this._lastGangInTurn = this._gangInTurn
    for (const waiting of newcomers) this._startStarved(waiting, snapshot)
  }

  /** Starts one task of a starved step, or all of a gang or of a step that lasts, as far as there is room. */
  private _startStarved (waiting: WaitingStep, snapshot: CapacitySnapshot): void {
    const { step } = waiting
    this._stepOutOfOrder = step
    const placed = this._placement.place(waiting, snapshot)
    this._stepOutOfOrder = undefined
    const started = step.spec.isGang || step.spec.isLongRunning ? placed : placed.slice(0, 1)
    if (started.length > 0) this._dependencies.log.note('starved step started', { step: step.name, tasks: started.length, waitedMs: this._now - waiting.since })
    this._startPlaced(started, snapshot)
    this._budget.recordChecks(snapshot.workers.length + waiting.tasks.length)
  }

  /** True if the last pass has left steps or tasks out that might have room, so that the next one should come soon. */
  get isIncomplete (): boolean {
    return this._waitingSteps.isIncomplete || this._budget.isIncomplete
  }

  /** Describes the fleet at `now` as scheduler passes see it, for forecasts. */
  describeFleet (now: number): FleetView {
    this._now = now
    return { workers: this._listUsableWorkers(), predictEnd: run => this._predictEnd(run), isEligible: (worker, step) => this._isEligible(worker, step), getPriority: job => this._getPriority(job) }
  }

  /** Places the tasks of a step for which there is room, and makes room for the others. Returns true if the ends of the workers' runs had to be looked at. */
  private _placeStep (waiting: WaitingStep, snapshot: CapacitySnapshot): boolean {
    const { step } = waiting
    snapshot.release(step)
    const placed = this._placement.place(waiting, snapshot)
    const late = this._speedFit.listLate(step, placed)
    this._startPlaced(placed.filter(one => !late.includes(one)), snapshot)
    if (late.length > 0) {
      if (this._hasFasterSlots(waiting, snapshot)) return true
      this._startPlaced(late, snapshot)
    }
    if (placed.length === waiting.tasks.length) {
      this._reclaim.dropReservation(step)
      return false
    }
    const unplaced = waiting.tasks.filter(task => task.runs.length === 0)
    // A task that has to run alone waits for a worker without runs; stopping a few runs would help neither it nor its gang.
    const helped = step.spec.isGang && unplaced.some(isIsolated) ? [] : unplaced.filter(task => !isIsolated(task))
    if (helped.length === 0) return false
    const isUrgent = this._getPriority(step.job) === 0
    if (isUrgent) this._reclaim.reclaimFor({ ...waiting, tasks: helped }, snapshot)
    else if (step.spec.isGang) this._gangReservations.reserveFor(waiting, snapshot)
    return isUrgent || step.spec.isGang
  }

  /** Lists the workers outside evacuated failure domains; the others count neither as capacity nor as part of the fleet. */
  private _listUsableWorkers (): WorkerState[] {
    return this._dependencies.evacuations.selectUsable(this._dependencies.registry.listWorkers())
  }

  private _startPlaced (placed: readonly PlacedTask[], snapshot: CapacitySnapshot): void {
    if (placed.length === 0) return
    for (const { worker, task } of placed) {
      snapshot.takeCapacity(worker, task.step.spec)
      this._unconfirmedRuns.set(worker, this._countUnconfirmedRuns(worker) + 1)
      this._crashIsolation.recordPlaced(worker, task)
    }
    this._dependencies.runTracker.start(placed.map(one => ({ ...one, ticket: undefined })), this._now)
  }

  /** True if the tasks of a step that have not started wait for slots at faster workers. Those that are starved or must run alone start where they can. */
  private _hasFasterSlots (waiting: WaitingStep, snapshot: CapacitySnapshot): boolean {
    const tasks = waiting.tasks.filter(task => task.runs.length === 0)
    return !this._starvedSteps.has(waiting.step) && !tasks.some(isIsolated) && this._fasterSlots.reserveFor({ ...waiting, tasks }, snapshot)
  }

  private _predictEnd (run: RunState): number {
    const { step } = run.task
    if (!step.spec.isGang || step.tasks.length <= MAX_SMALL_GANG) return this._computeEnd(run)
    const known = this._gangEnds.get(step)
    if (known?.at === this._now) return known.end
    const end = this._computeEnd(run)
    this._gangEnds.set(step, { at: this._now, end })
    return end
  }

  private _computeEnd (run: RunState): number {
    return predictEnd(run, this._now, member => this._estimateRunTimeAt(member), this._dependencies.times.stopGraceMs)
  }

  /** Estimates the run time of a run's task at the speed of its worker, in milliseconds. */
  private _estimateRunTimeAt (run: RunState): number {
    return this._dependencies.runTimes.estimateRunTime(run.task.step) * this._speedFit.getSpeed(run.worker.id).factor
  }

  /** Marks the steps of which a waiting task has one attempt left. */
  private _markLastAttempts (waiting: readonly WaitingStep[]): void {
    this._lastAttemptSteps.clear()
    for (const { step, tasks } of waiting) if (tasks.some(isLastAttempt)) this._lastAttemptSteps.add(step)
  }

  /** Indexes the priorities by queue name, since each decision looks priorities up and there may be a thousand queues. */
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
    if (this._dependencies.evacuations.hasWorker(worker)) return false
    if (report === undefined || report.isDraining || !this._dependencies.registry.isResponsive(worker, this._now)) return false
    if (report.service !== step.job.graph.queue.service) return false
    if (this._crashIsolation.isReserved(worker, step) || this._releaseAvoidance.isAvoided(worker, step)) return false
    const { requiredLabel } = step.spec
    if (requiredLabel !== undefined && !report.labels.includes(requiredLabel)) return false
    return this._starvedSteps.has(step) || !this._dependencies.workerHealth.isAvoided(worker.key.id, this._now)
  }

  /** True when a worker may run each waiting task of a step. */
  private _isEligibleForAll (worker: WorkerState, step: StepState): boolean {
    return this._isEligible(worker, step) && (!this._lastAttemptSteps.has(step) || this._isUsableForLastAttempt(worker, step))
  }

  /** The last attempt of a task waits for a worker without failures since its last success; a starved step takes any worker. */
  private _isUsableForLastAttempt (worker: WorkerState, step: StepState): boolean {
    return this._starvedSteps.has(step) || this._dependencies.workerHealth.countFailures(worker.key.id, this._now) === 0
  }

  private _getTaskLimit (worker: WorkerState, step: StepState): number {
    if (step.spec.isGang) return this._getHealthLimit(worker, step)
    const maxUnconfirmed = MAX_UNCONFIRMED_RUNS + (step === this._stepOutOfOrder ? MAX_STARVED_UNCONFIRMED_RUNS : 0)
    return Math.min(this._getHealthLimit(worker, step), maxUnconfirmed - this._countUnconfirmedRuns(worker))
  }

  /** Counts the runs of a worker whose start is not confirmed. */
  private _countUnconfirmedRuns (worker: WorkerState): number {
    const known = this._unconfirmedRuns.get(worker)
    if (known !== undefined) return known
    let count = 0
    for (const run of worker.runs) if (run.phase === RunPhase.assigned) count++
    this._unconfirmedRuns.set(worker, count)
    return count
  }

  private _getHealthLimit (worker: WorkerState, step: StepState): number {
    const probationLimit = this._dependencies.workerHealth.isOnProbation(worker.key.id, this._now) && !this._starvedSteps.has(step) ? Math.max(0, 1 - this._countUnprovenRuns(worker)) : Infinity
    const { maxPerWorker } = step.spec
    if (maxPerWorker === undefined) return probationLimit
    let runCount = 0
    for (const run of worker.runs) if (run.task.step === step) runCount++
    return Math.min(probationLimit, Math.max(0, maxPerWorker - runCount))
  }

  private _countUnprovenRuns (worker: WorkerState): number {
    let count = 0
    for (const run of worker.runs) if (!isSteadyRun(run, this._now)) count++
    return count
  }

  /** True when a step is starved, or has waited for its rack for longer than the extra run time that another rack would cost. */
  private _isLocalityWaitOver (waiting: WaitingStep): boolean {
    const extraRunMs = this._dependencies.runTimes.estimateRunTime(waiting.step) * (this._dependencies.times.remoteFactor - 1)
    return this._now - waiting.since > extraRunMs || this._starvedSteps.has(waiting.step)
  }
}

/** Returns a waiting step without the tasks that the pass has started already. */
function selectUnstarted (waiting: WaitingStep): WaitingStep {
  return waiting.tasks.some(task => task.runs.length > 0) ? { ...waiting, tasks: waiting.tasks.filter(task => task.runs.length === 0) } : waiting
}
