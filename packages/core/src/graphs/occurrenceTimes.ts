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

/** What is left of an occurrence. */
export interface RemainingWork {
  /** Time of the longest chain of the steps that are not done, in milliseconds. */
  readonly chainMs: number
  /** Core-seconds of the tasks that are not done. */
  readonly coreSeconds: number
}

/** Longest chains of the steps of an occurrence; times in milliseconds. */
export interface StepChains {
  /** Time of the longest chain of all steps. */
  readonly chainMs: number
  /** Time of the longest chain of steps that start after a step, without those that are done, by the index of the step. */
  readonly tailsMs: readonly number[]
}

type StepTime = (step: StepState) => number
type KeptValues<T> = WeakMap<readonly StepState[], { readonly values: T, readonly until: number }>

export class OccurrenceTimes {
  private readonly _runTimes: RunTimeEstimator
  private readonly _remaining: KeptValues<RemainingWork> = new WeakMap()
  private readonly _chains: KeptValues<StepChains> = new WeakMap()

  constructor (runTimes: RunTimeEstimator) {
    this._runTimes = runTimes
  }

  /** Returns what is left of the occurrence that a step belongs to. `now` is on the planner's clock. */
  getRemaining (step: StepState, now: number): RemainingWork {
    return this._get(this._remaining, step, now, computeRemaining)
  }

  /** Returns the chains of the steps of the occurrence that a step belongs to. `now` is on the planner's clock. */
  getChains (step: StepState, now: number): StepChains {
    return this._get(this._chains, step, now, computeChains)
  }

  private _get<T> (kept: KeptValues<T>, step: StepState, now: number, compute: (steps: readonly StepState[], getStepMs: StepTime) => T): T {
    const steps = step.job.occurrences.get(step.occurrence) ?? []
    const known = kept.get(steps)
    if (known !== undefined && now < known.until) return known.values
    const stepMs = steps.map(other => this._runTimes.estimateRunTime(other))
    const values = compute(steps, other => stepMs[other.index] ?? 0)
    if (steps.length > MAX_SMALL_STEPS) kept.set(steps, { values, until: now + steps.length * KEPT_MS_PER_STEP })
    return values
  }
}

function computeRemaining (steps: readonly StepState[], getStepMs: StepTime): RemainingWork {
  return { chainMs: computeRemainingChainMs(steps, getStepMs), coreSeconds: steps.reduce((sum, step) => sum + step.remaining * computeCoreSeconds(step.spec, getStepMs(step)), 0) }
}

function computeChains (steps: readonly StepState[], getStepMs: StepTime): StepChains {
  return { chainMs: computeChainMs(steps, getStepMs), tailsMs: computeTailsMs(steps, getStepMs) }
}
