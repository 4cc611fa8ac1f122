/**
 * Forecasts when a job that arrives now would start, from the waiting work that goes before it, the predicted ends of runs and the free capacity by shape: the
 * needs of its tasks, how many of them start together, and the rack rule. Valid for the moment at which it was created.
 */
import type { JobGraph, StepSpec, TaskNeeds } from './graphTypes.js'
import { MAX_LATE_FACTOR, computeObjectiveMs, computeRemainingChainMs, computeSlackMs } from './jobObjective.js'
import { addOccurrence, createJobState } from './jobState.js'
import type { JobState, RunState, StepState } from './jobState.js'
import type { RunTimeEstimator } from './runTimeEstimator.js'
import { listWaitingSteps } from './waitingStep.js'
import type { WaitingOrder, WaitingStep } from './waitingStep.js'
import { WorkBacklog } from './workBacklog.js'
import { countFits, returnNeeds } from './workerState.js'
import type { WorkerState } from './workerState.js'

/** Time until a job would start, in milliseconds; Infinity if its shape fits on no eligible workers, even empty ones. */
export interface StartTimes {
  /**
   * Lower bound. Runs and waiting work take half of the predicted time. Only waiting work that always fits where the job does goes before it, and until it is late at the longest.
   * Urgent work takes any capacity that work of lower priority holds. Silent workers are back, and the rack rule is ignored, as it is after a wait.
   */
  readonly optimisticMs: number
  readonly expectedMs: number
}

/** The fleet as scheduler passes see it. */
export interface FleetView {
  /** Workers whose capacity counts. */
  readonly workers: readonly WorkerState[]
  /** Predicts when a run ends, on the planner's clock; Infinity when that is unknown. */
  readonly predictEnd: (run: RunState) => number
  readonly isEligible: (worker: WorkerState, step: StepState) => boolean
  readonly getPriority: (job: JobState) => number
}

/** What is known at the moment of a forecast. */
export interface StartForecastOptions extends FleetView {
  /** Steps that wait for capacity. */
  readonly waiting: readonly WaitingStep[]
  readonly now: number
  /** Time of day in milliseconds since 1970. */
  readonly wallTime: number
  readonly order: WaitingOrder
  readonly runTimes: RunTimeEstimator
  /** Time that a run takes to stop when its capacity is taken back, in milliseconds. */
  readonly stopGraceMs: number
}

/** When a run ends, in milliseconds from now, and what it frees. */
interface RunEndTime {
  /** Infinity for a run that lasts. */
  readonly inMs: number
  /**
   * The earliest end by the speed of the run and by the usual run time; the first observations of a run may show a speed that is far too low. 0 for a run that lasts, which may be
   * cancelled at any time.
   */
  readonly earliestInMs: number
  readonly priority: number
  readonly spec: StepSpec
}

/** When a run ends in one view, in milliseconds from now, and what it frees. */
interface ViewedEnd {
  readonly inMs: number
  readonly spec: StepSpec
}

/** How a forecast sees the fleet. */
interface ForecastView {
  readonly isOptimistic: boolean
  /** True if capacity that work of lower priority holds counts as soon free. */
  readonly mayReclaim: boolean
}

const EXPECTED: ForecastView = { isOptimistic: false, mayReclaim: false }
const OPTIMISTIC: ForecastView = { isOptimistic: true, mayReclaim: false }
const OPTIMISTIC_URGENT: ForecastView = { isOptimistic: true, mayReclaim: true }

/** A job that might arrive now, and the waiting steps that would go before it. */
interface Probe {
  readonly first: WaitingStep
  readonly ahead: readonly WaitingStep[]
}

/** A waiting step with the time from now after which it goes after a job that arrives now, in milliseconds. */
interface ExpiringStep {
  readonly step: WaitingStep
  readonly expiresInMs: number
}

interface Demand { readonly accelerators: number, readonly cpuMillis: number }

/** Share of the predicted time after which runs and waiting work may end in the optimistic forecast. */
const OPTIMISM = 0.5
const WHOLE_PERCENT = 100

export class StartForecast {
  private readonly _options: StartForecastOptions
  private readonly _endsByWorker = new Map<WorkerState, RunEndTime[]>()
  private readonly _endsByView = new Map<ForecastView, Map<WorkerState, readonly ViewedEnd[]>>()
  private readonly _free = new Map<WorkerState, TaskNeeds>()
  private readonly _backlogs = new Map<string, WorkBacklog>()
  private _expiring: readonly ExpiringStep[] | undefined

  constructor (options: StartForecastOptions) {
    this._options = options
    for (const worker of options.workers) this._endsByWorker.set(worker, this._listEnds(worker))
  }

  /** Forecasts the start of the first steps of a job that arrives now. */
  predictStart (graph: JobGraph): StartTimes {
    const [probe] = this._createProbes([graph])
    return probe === undefined ? { optimisticMs: 0, expectedMs: 0 } : { optimisticMs: this._predictOptimistic(probe), expectedMs: this._predictExpected(probe) }
  }

  /** Forecasts the starts of jobs of which each might arrive now; undefined for those whose optimistic start is not after `limits`, in milliseconds. */
  predictLateStarts (graphs: readonly JobGraph[], limits: readonly number[]): Array<StartTimes | undefined> {
    return this._createProbes(graphs).map((probe, index) => {
      const optimisticMs = this._predictOptimistic(probe)
      return optimisticMs <= (limits[index] ?? Infinity) ? undefined : { optimisticMs, expectedMs: this._predictExpected(probe) }
    })
  }

  /** Finds the waiting steps before each job, with one sort for all of them. */
  private _createProbes (graphs: readonly JobGraph[]): Probe[] {
    const { now, wallTime, order, waiting } = this._options
    const firsts = graphs.flatMap(graph => {
      const job = createJobState({ ...graph, acceptedAt: wallTime }, now)
      addOccurrence(job, 0)
      return listWaitingSteps(job, now).slice(0, 1)
    })
    const probes = new Set(firsts)
    const sorted = order.sort([...waiting, ...firsts], now)
    return firsts.map(first => ({ first, ahead: sorted.slice(0, sorted.indexOf(first)).filter(step => !probes.has(step)) }))
  }

  private _predictOptimistic ({ first, ahead }: Probe): number {
    const view = this._options.getPriority(first.step.job) === 0 ? OPTIMISTIC_URGENT : OPTIMISTIC
    const { service } = first.step.job.graph.queue
    const shapeMs = this._computeShapeStart(first, this._listKnownWorkers(service), view, false)
    const goingBefore = new Set(ahead.filter(step => isSmaller(step, first)))
    const expiring = this._listExpiring().filter(({ step }) => goingBefore.has(step))
    return Math.max(shapeMs, computeExpiringBacklog(expiring, steps => this._getBacklog(service, view).computeTime(steps)))
  }

  private _predictExpected ({ first, ahead }: Probe): number {
    const usable = this._options.workers.filter(worker => this._options.isEligible(worker, first.step))
    return Math.max(this._computeShapeStart(first, usable, EXPECTED, first.step.spec.isSameRack), this._createBacklog(usable, EXPECTED).computeTime(ahead))
  }

  /** Lists the workers of a service, also those that are silent or avoided, which may be back at once. */
  private _listKnownWorkers (service: string): WorkerState[] {
    return this._options.workers.filter(({ report }) => report?.service === service && !report.isDraining)
  }

  private _getBacklog (service: string, view: ForecastView): WorkBacklog {
    const key = `${String(view.mayReclaim)} ${service}`
    const known = this._backlogs.get(key)
    if (known !== undefined) return known
    const created = this._createBacklog(this._listKnownWorkers(service), view)
    this._backlogs.set(key, created)
    return created
  }

  private _createBacklog (workers: readonly WorkerState[], view: ForecastView): WorkBacklog {
    const ends = workers.flatMap(worker => this._listViewedEnds(worker, view))
    const scale = view.isOptimistic ? OPTIMISM : 1
    return new WorkBacklog({ capacities: workers.map(worker => worker.capacity), ends, estimateRunTime: step => this._options.runTimes.estimateRunTime(step) * scale })
  }

  /** Lists the waiting steps by the time at which they go after a job that arrives now, the soonest first. */
  private _listExpiring (): readonly ExpiringStep[] {
    this._expiring ??= this._options.waiting.map(step => ({ step, expiresInMs: Math.max(0, this._computeExpiry(step)) })).sort((a, b) => a.expiresInMs - b.expiresInMs)
    return this._expiring
  }

  private _listEnds (worker: WorkerState): RunEndTime[] {
    const { getPriority } = this._options
    return [...worker.runs].map(run => {
      const { step } = run.task
      const inMs = this._predictRemaining(run)
      const usualMs = step.spec.isLongRunning ? 0 : this._options.runTimes.estimateRunTime(step) * (1 - run.percent / WHOLE_PERCENT)
      return { inMs, earliestInMs: Math.min(inMs, usualMs), priority: getPriority(step.job), spec: step.spec }
    })
  }

  private _predictRemaining (run: RunState): number {
    const { predictEnd, runTimes, now } = this._options
    const { step } = run.task
    const endsAt = predictEnd(run)
    if (endsAt !== Infinity) return Math.max(0, endsAt - now)
    // The start of a run that is not confirmed yet says nothing about its end.
    return step.spec.isLongRunning ? Infinity : runTimes.estimateRunTime(step)
  }

  /** Returns after how long the tasks of a step fit, if the step is the next to be placed. `isRackBound`: they have to fit into one rack. */
  private _computeShapeStart ({ step, tasks }: WaitingStep, workers: readonly WorkerState[], view: ForecastView, isRackBound: boolean): number {
    const wanted = step.spec.isGang ? tasks.length : 1
    const timesByRack = new Map<string, number[]>()
    for (const worker of workers) {
      const rack = isRackBound ? worker.report?.rack ?? '' : ''
      const times = timesByRack.get(rack) ?? []
      times.push(...this._listSlotTimes(worker, step.spec, view))
      timesByRack.set(rack, times)
    }
    // A step that is too wide for every rack uses several.
    const groups = [...timesByRack.values()]
    const isWide = groups.every(times => times.length < wanted)
    return Math.min(...(isWide ? [groups.flat()] : groups).map(times => times.sort((a, b) => a - b)[wanted - 1] ?? Infinity))
  }

  /** Lists the times at which a worker gains room for one more task. */
  private _listSlotTimes (worker: WorkerState, spec: StepSpec, view: ForecastView): number[] {
    const free = { ...this._getFree(worker) }
    const times = new Array<number>(Math.min(countFits(free, spec), spec.count)).fill(0)
    for (const { inMs, spec: ended } of this._listViewedEnds(worker, view)) {
      if (times.length >= spec.count) break
      returnNeeds(free, ended)
      while (times.length < Math.min(countFits(free, spec), spec.count)) times.push(inMs)
    }
    return times
  }

  private _getFree (worker: WorkerState): TaskNeeds {
    const free = this._free.get(worker) ?? worker.computeFreeCapacity()
    this._free.set(worker, free)
    return free
  }

  /** Lists the ends of a worker's runs in a view, the soonest first. */
  private _listViewedEnds (worker: WorkerState, view: ForecastView): readonly ViewedEnd[] {
    const byWorker = this._endsByView.get(view) ?? new Map<WorkerState, readonly ViewedEnd[]>()
    this._endsByView.set(view, byWorker)
    const known = byWorker.get(worker)
    if (known !== undefined) return known
    const ends = (this._endsByWorker.get(worker) ?? []).map(end => ({ inMs: this._computeEnd(end, view), spec: end.spec })).sort((a, b) => a.inMs - b.inMs)
    byWorker.set(worker, ends)
    return ends
  }

  private _computeEnd (end: RunEndTime, { isOptimistic, mayReclaim }: ForecastView): number {
    const inMs = isOptimistic ? end.earliestInMs * OPTIMISM : end.inMs
    return mayReclaim && end.priority > 0 ? Math.min(this._options.stopGraceMs, inMs) : inMs
  }

  /** Returns after how long a waiting step goes after a job that arrives now. */
  private _computeExpiry ({ step }: WaitingStep): number {
    const { runTimes, wallTime, getPriority } = this._options
    const { graph, occurrences } = step.job
    const chainMs = computeRemainingChainMs(occurrences.get(step.occurrence) ?? [], member => runTimes.estimateRunTime(member))
    const slackMs = computeSlackMs(graph, step.occurrence, chainMs, wallTime)
    return getPriority(step.job) === 0 ? slackMs : slackMs + (MAX_LATE_FACTOR - 1) * computeObjectiveMs(graph.queue, chainMs)
  }
}

/**
 * Returns the lower bound of the time that the steps ahead take. A step that waits until it is late (of an urgent queue) or worthless (of another) then goes after a job that arrives
 * now, so it delays that job until then at the longest.
 */
function computeExpiringBacklog (expiring: readonly ExpiringStep[], computeTime: (steps: readonly WaitingStep[]) => number): number {
  // Without the first `count` steps, the work takes less, and these are not over before the last of them has expired.
  const computeWithout = (count: number): number => Math.max(expiring[count - 1]?.expiresInMs ?? 0, computeTime(expiring.slice(count).map(({ step }) => step)))
  let low = 0
  let high = expiring.length
  while (low < high) {
    const middle = Math.floor((low + high) / 2)
    if (computeWithout(middle) <= (expiring[middle]?.expiresInMs ?? Infinity)) high = middle
    else low = middle + 1
  }
  return computeWithout(low)
}

/** True if a step always fits where another one does: it needs no more at once. */
function isSmaller (step: WaitingStep, other: WaitingStep): boolean {
  const a = computeDemand(step)
  const b = computeDemand(other)
  return a.accelerators <= b.accelerators && a.cpuMillis <= b.cpuMillis && isTaskSmaller(step.step.spec, other.step.spec)
}

function isTaskSmaller (a: TaskNeeds, b: TaskNeeds): boolean {
  return a.accelerators <= b.accelerators && a.cpuMillis <= b.cpuMillis && a.memoryMb <= b.memoryMb
}

/** Returns what a step needs at the same time: all of its tasks for a gang, else one task, as others can run in turns. */
function computeDemand ({ step: { spec }, tasks }: WaitingStep): Demand {
  const count = spec.isGang ? tasks.length : 1
  return { accelerators: spec.accelerators * count, cpuMillis: spec.cpuMillis * count }
}
