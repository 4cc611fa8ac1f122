/**
 * Computes the amount of work in core-seconds, as the pricing rules count it, and the value of a job derived from it.
 */
import type { StepSpec, TaskNeeds } from './graphTypes.js'

/** Number of cores that one GPU counts as in the pricing rules. */
const CORES_PER_ACCELERATOR = 8
const MS_PER_S = 1_000
const MILLIS_PER_CORE = 1_000
/**
 * By the pricing rules, the value of a job is a fixed part plus a part proportional to the ratio of its core-seconds to the mean of its queue.
 * The ratio counts up to MAX_WORK_SHARE.
 */
const FIXED_VALUE = 0.3
const VALUE_PER_WORK = 0.7
const MAX_WORK_SHARE = 4

/** Returns the core-seconds of a task with the given needs that runs for the given time in milliseconds. */
export function computeCoreSeconds (needs: TaskNeeds, ms: number): number {
  return ms / MS_PER_S * (needs.cpuMillis / MILLIS_PER_CORE + needs.accelerators * CORES_PER_ACCELERATOR)
}

/** Returns the core-seconds of all tasks of a job by their declared run times. */
export function computeDeclaredCoreSeconds (steps: readonly StepSpec[]): number {
  return steps.reduce((sum, step) => sum + step.count * computeCoreSeconds(step, step.estimatedMs), 0)
}

/**
 * Returns the ratio of a job's value to the value of its queue, by the job's core-seconds relative to the mean of the queue. A job counts
 * as of mean size while no mean is known.
 */
export function computeValueFactor (coreSeconds: number, meanCoreSeconds: number | undefined): number {
  const meanOrOwn = meanCoreSeconds ?? coreSeconds
  const share = meanOrOwn === 0 ? 1 : Math.min(MAX_WORK_SHARE, coreSeconds / meanOrOwn)
  return FIXED_VALUE + VALUE_PER_WORK * share
}
