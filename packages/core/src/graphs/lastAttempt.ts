/**
 * Tells when a task has one attempt left. A worker that fails all it starts is empty again at once, so on a full fleet it offers the only free slot for the
 * retries of the tasks that it has failed.
 */
import type { TaskState } from './jobState.js'

/** True when the next failure of a task, or of its gang, fails the job. False before the first failure. */
export function isLastAttempt (task: TaskState): boolean {
  const { step } = task
  const failures = step.spec.isGang ? step.gangFailures : task.failures
  return failures > 0 && failures >= step.job.graph.queue.maxAttempts - 1
}
