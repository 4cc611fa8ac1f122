/**
 * Times and amounts of work of the steps of an occurrence, by the estimated run times. They are the same for all waiting steps of the occurrence, and
 * computing them takes a time that grows with the number of its steps, so those of a large occurrence are kept for a while.
 */
import { computeCoreSeconds } from './coreSeconds.js'
import { computeChainMs, computeRemainingChainMs, computeTailsMs } from './jobObjective.js'
import type { StepState } from './jobState.js'
import type { RunTimeEstimator } from './runTimeEstimator.js'

/** Number of steps up to which the values of an occurrence are never kept. */
const MAX_SMALL_STEPS = 32
/** Time for which the values of a larger occurrence are kept, in milliseconds for each of its steps; computing them takes some microseconds a step. */
const KEPT_MS_PER_STEP = 0.5

/** Values of one occurrence; times in milliseconds. */
export interface OccurrenceValues {
  /** Time of the longest chain of steps. */
  readonly chainMs: number
  /** Time of the longest chain of steps without those that are done. */
  readonly remainingChainMs: number
  /** Core-seconds of the tasks that are not done. */
  readonly remainingCoreSeconds: number
  /** Time of the longest chain of steps that start after a step, without those that are done, by the index of the step. */
  readonly tailsMs: readonly number[]
}

interface KeptValues {
  readonly values: OccurrenceValues
  readonly until: number
}

export class OccurrenceTimes {
  private readonly _runTimes: RunTimeEstimator
  private readonly _kept = new WeakMap<readonly StepState[], KeptValues>()

  constructor (runTimes: RunTimeEstimator) {
    this._runTimes = runTimes
  }

  /** Returns the values of the occurrence that a step belongs to. `now` is on the planner's clock. */
  get (step: StepState, now: number): OccurrenceValues {
    const steps = step.job.occurrences.get(step.occurrence) ?? []
    if (steps.length <= MAX_SMALL_STEPS) return this._compute(steps)
    const kept = this._kept.get(steps)
    if (kept !== undefined && now < kept.until) return kept.values
    const values = this._compute(steps)
    this._kept.set(steps, { values, until: now + steps.length * KEPT_MS_PER_STEP })
    return values
  }

  private _compute (steps: readonly StepState[]): OccurrenceValues {
    const stepMs = steps.map(step => this._runTimes.estimateRunTime(step))
    const getStepMs = (step: StepState): number => stepMs[step.index] ?? 0
    return {
      chainMs: computeChainMs(steps, getStepMs),
      remainingChainMs: computeRemainingChainMs(steps, getStepMs),
      remainingCoreSeconds: steps.reduce((sum, step) => sum + step.remaining * computeCoreSeconds(step.spec, getStepMs(step)), 0),
      tailsMs: computeTailsMs(steps, getStepMs)
    }
  }
}
