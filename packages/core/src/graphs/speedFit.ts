/**
 * Judges by the speed of workers whether a step meets the objective of its job there. All workers count as equally fast, and each as fast enough, until
 * the source of speeds reports differences.
 */
import { MAX_LATE_FACTOR, computeObjectiveMs, getDueTime } from './jobObjective.js'
import type { StepState } from './jobState.js'
import { OccurrenceTimes } from './occurrenceTimes.js'
import type { PlacedTask } from './placement.js'
import type { RunTimeEstimator } from './runTimeEstimator.js'
import type { SpeedSource } from './speedSource.js'
import type { WorkerState } from './workerState.js'

/** Dependencies of {@link SpeedFit}. */
export interface SpeedFitDependencies {
  readonly speeds: SpeedSource
  readonly runTimes: RunTimeEstimator
  /** Returns the time of day in milliseconds since 1970. */
  readonly getWallTime: () => number
  /** Factor by which the run time of a task grows in another rack than that of its data or of the other tasks of its step. */
  readonly remoteFactor: number
}

/** Speed of a worker during one scheduler pass. */
export interface WorkerSpeed {
  readonly factor: number
  /** Factor in the middle of the worker's class of speed, in which workers count as alike. */
  readonly classFactor: number
}

/** How slow the workers of a step may be. */
interface StepLimit {
  /** Time that is left for the step until its objective, or until its job is worth nothing if no worker meets the objective any more, in milliseconds. */
  readonly leftMs: number
  /** Time that the step takes at a worker of middle speed near its data, in milliseconds. */
  readonly runMs: number
  /** False when no worker meets the objective any more. */
  readonly isObjective: boolean
}

/** Time from the decision to start a run until it begins at its worker, in milliseconds: two reports of agents and a write to the store. */
const START_MS = 250
/** Share of its run time by which a run should end before its objective where there is a choice, since run times are estimated. */
const ESTIMATE_MARGIN = 0.1
/** Width of a class of speed, as a logarithm. Factors of 0.63, 0.8, 1, 1.25 and 1.6 lie near the middles of different classes. */
const CLASS_WIDTH = 0.25
const EQUAL_SPEED: WorkerSpeed = { factor: 1, classFactor: 1 }

export class SpeedFit {
  private readonly _dependencies: SpeedFitDependencies
  private readonly _occurrenceTimes: OccurrenceTimes
  private readonly _speeds = new Map<string, WorkerSpeed>()
  private readonly _limits = new Map<StepState, StepLimit>()
  private _isActive = false
  private _fastestFactor = 1
  private _now = 0

  constructor (dependencies: SpeedFitDependencies) {
    this._dependencies = dependencies
    this._occurrenceTimes = new OccurrenceTimes(dependencies.runTimes)
  }

  /** Factor by which a task takes longer away from its data, or beside tasks of its step in other racks. */
  get remoteFactor (): number {
    return this._dependencies.remoteFactor
  }

  /** True while the speeds of workers differ so much that decisions depend on them. */
  get isActive (): boolean {
    return this._isActive
  }

  /** Begins a scheduler pass over the given workers. */
  beginPass (workers: readonly WorkerState[], now: number): void {
    this._now = now
    this._isActive = this._dependencies.speeds.hasDifferences
    this._speeds.clear()
    this._limits.clear()
    this._fastestFactor = this._isActive ? Math.min(...workers.map(worker => this.getSpeed(worker.key.id).factor)) : 1
  }

  /** Returns the speed of a worker; that of a worker of middle speed while speeds don't matter. */
  getSpeed (workerId: string): WorkerSpeed {
    if (!this._isActive) return EQUAL_SPEED
    const known = this._speeds.get(workerId)
    if (known !== undefined) return known
    const factor = this._dependencies.speeds.getFactor(workerId, this._now)
    const speed = { factor, classFactor: Math.exp(Math.round(Math.log(factor) / CLASS_WIDTH) * CLASS_WIDTH) }
    this._speeds.set(workerId, speed)
    return speed
  }

  /** Returns the factor by which a task of a step is slower at a worker because of its place; `isSpread` if the tasks of the step lie in several racks. */
  getPlaceFactor (worker: WorkerState, step: StepState, isSpread: boolean): number {
    const { isSameRack, dataRack } = step.spec
    return (isSameRack && isSpread) || (dataRack !== undefined && dataRack !== worker.report?.rack) ? this._dependencies.remoteFactor : 1
  }

  /**
   * Returns the largest factor, of worker and place together, at which a step meets its objective when it starts at `startsAt` on the planner's clock. If no
   * worker meets the objective any more, the step counts as having time until its job is worth nothing, so that fast workers stay free for other work.
   */
  getMaxFactor (step: StepState, startsAt = this._now): number {
    if (!this._isActive) return Infinity
    const { leftMs, runMs } = this._getLimit(step)
    return leftMs === Infinity ? Infinity : (leftMs - START_MS - (startsAt - this._now)) / runMs
  }

  /** Returns the largest factor at which a step ends so early that a longer run time than estimated does no harm; see {@link getMaxFactor}. */
  getPreferredFactor (step: StepState, startsAt = this._now): number {
    return this.getMaxFactor(step, startsAt) / (1 + ESTIMATE_MARGIN)
  }

  /** True if a step meets its objective at the fastest worker when it starts at `startsAt` on the planner's clock. */
  hasObjectiveInReach (step: StepState, startsAt = this._now): boolean {
    return this._getLimit(step).isObjective && this.getMaxFactor(step, startsAt) >= this._fastestFactor
  }

  /** Returns the latest start with which a step meets its objective at a worker, the fastest one when absent, on the planner's clock. */
  getLatestStart (step: StepState, worker?: WorkerState): number {
    const { leftMs, runMs } = this._getLimit(step)
    const factor = worker === undefined ? this._fastestFactor : this.getSpeed(worker.key.id).factor * this.getPlaceFactor(worker, step, false)
    return this._now + leftMs - START_MS - runMs * factor
  }

  /** True when a worker near the data is fast enough for a step that starts at `startsAt` on the planner's clock. */
  isFit (worker: WorkerState, step: StepState, startsAt = this._now): boolean {
    return !this._isActive || this.getSpeed(worker.key.id).factor * this.getPlaceFactor(worker, step, false) <= this.getMaxFactor(step, startsAt)
  }

  /** Returns the tasks that would end too late if they started where they are placed; all or none of tasks that are placed together. */
  listLate (step: StepState, placed: readonly PlacedTask[], startsAt = this._now): readonly PlacedTask[] {
    if (!this._isActive || placed.length === 0) return []
    const maxFactor = this.getMaxFactor(step, startsAt)
    const isSpread = new Set(placed.map(({ worker }) => worker.report?.rack)).size > 1
    const late = placed.filter(({ worker }) => this.getSpeed(worker.key.id).factor * this.getPlaceFactor(worker, step, isSpread) > maxFactor)
    return late.length > 0 && (step.spec.isGang || step.spec.isSameRack) ? placed : late
  }

  private _getLimit (step: StepState): StepLimit {
    const known = this._limits.get(step)
    if (known !== undefined) return known
    const limit = this._computeLimit(step)
    this._limits.set(step, limit)
    return limit
  }

  private _computeLimit (step: StepState): StepLimit {
    const { runTimes, getWallTime } = this._dependencies
    const { graph } = step.job
    const runMs = Math.max(1, runTimes.estimateRunTime(step))
    if (step.spec.isLongRunning) return { leftMs: Infinity, runMs, isObjective: true }
    const { chainMs, tailsMs } = this._occurrenceTimes.getChains(step, this._now)
    const objectiveMs = computeObjectiveMs(graph.queue, chainMs)
    const usedMs = getWallTime() - getDueTime(graph, step.occurrence) + (tailsMs[step.index] ?? 0)
    const isEnough = (leftMs: number): boolean => leftMs - START_MS >= runMs * this._fastestFactor
    if (isEnough(objectiveMs - usedMs)) return { leftMs: objectiveMs - usedMs, runMs, isObjective: true }
    const worthMs = objectiveMs * MAX_LATE_FACTOR - usedMs
    return { leftMs: isEnough(worthMs) ? worthMs : Infinity, runMs, isObjective: false }
  }
}
