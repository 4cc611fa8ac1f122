/**
 * Work as the users price it, and what a job is worth by its work.
 */
import type { TaskNeeds } from './graphTypes.js'

/** A GPU counts as so many cores in the users' rules on prices. */
const CORES_PER_ACCELERATOR = 8
const MS_PER_S = 1_000
const MILLIS_PER_CORE = 1_000
/** Part of a job's value that doesn't grow with its work, the factor of the rest, and its bound; from the users' rules on benefit. */
const FIXED_VALUE = 0.3
const VALUE_PER_WORK = 0.7
const MAX_WORK_SHARE = 4

/** Returns the core-seconds of a task of these needs that works for a time in milliseconds. */
export function computeCoreSeconds (needs: TaskNeeds, ms: number): number {
  return ms / MS_PER_S * (needs.cpuMillis / MILLIS_PER_CORE + needs.accelerators * CORES_PER_ACCELERATOR)
}

/** Returns a job's value as a factor of its queue's, by its core-seconds against the mean of the queue; of mean size when none is known. */
export function computeValueFactor (coreSeconds: number, meanCoreSeconds: number | undefined): number {
  const meanOrOwn = meanCoreSeconds ?? coreSeconds
  const relativeWork = meanOrOwn === 0 ? 1 : Math.min(MAX_WORK_SHARE, coreSeconds / meanOrOwn)
  return FIXED_VALUE + VALUE_PER_WORK * relativeWork
}
