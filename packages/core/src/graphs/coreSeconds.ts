/**
 * Work as the users price it.
 */
import type { TaskNeeds } from './graphTypes.js'

/** A GPU counts as so many cores in the users' rules on prices. */
const CORES_PER_ACCELERATOR = 8
const MS_PER_S = 1_000
const MILLIS_PER_CORE = 1_000

/** Returns the core-seconds of a task of these needs that works for a time in milliseconds. */
export function computeCoreSeconds (needs: TaskNeeds, ms: number): number {
  return ms / MS_PER_S * (needs.cpuMillis / MILLIS_PER_CORE + needs.accelerators * CORES_PER_ACCELERATOR)
}
