/**
 * Cost of a reclaim: the work that a running gang would lose, and the cheapest way to reclaim its resources.
 */
import { ReclaimMethod } from './jobTypes.js'
import type { RunningJob } from './jobTypes.js'

/** A running gang whose resources may be reclaimed; `places` holds the worker number of each task. */
export interface Victim {
  readonly job: RunningJob
  readonly places: readonly number[]
  /** Work that the reclaim loses: number of accelerators times milliseconds. */
  readonly lossMs: number
  readonly how: ReclaimMethod
}

/** Returns how to reclaim a gang's resources within `withinMs` milliseconds, and the work that this loses. */
export function chooseReclaimMethod (job: RunningJob, places: readonly number[], withinMs: number, now: number): Victim {
  const size = job.spec.tasks * Math.max(1, job.spec.shape.accelerators)
  if (job.isStopping) return { job, places, lossMs: 0, how: ReclaimMethod.checkpoint }
  if (job.spec.isCheckpointable && job.checkpointMs <= withinMs) {
    return { job, places, lossMs: size * job.checkpointMs, how: ReclaimMethod.checkpoint }
  }
  return { job, places, lossMs: size * (now - job.savedAt), how: ReclaimMethod.stop }
}
