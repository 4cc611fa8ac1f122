/**
 * When a run of a task that lasts shows that its worker is sound. Such a run has no successful end; its time at work takes the place of one.
 */
import type { RunState } from './jobState.js'

/** Time at work after which a run counts as steady, in milliseconds. Faulty workers fail runs within a second of their start. */
const STEADY_MS = 4_000

/** True if a run of a task that lasts has been at work for long enough to show that its worker is sound. */
export function isSteadyRun (run: RunState, now: number): boolean {
  return run.task.step.spec.isLongRunning && run.runningSince !== undefined && now - run.runningSince >= STEADY_MS
}
