/**
 * Which tasks are suspected of crashing the workers that start them. A worker may also crash by itself, right after it has started some run, so one crash
 * proves nothing. All tasks that had just started are suspected; they start again on different workers, so that the next crash tells them apart.
 * After two crashes in a row, a task runs only alone on a worker that was steady lately: it then harms no other run, and the next crash is its
 * own. A run that goes on for a while clears its task.
 */
import type { RunState, StepState, TaskState } from './jobState.js'

/** Number of crashes in a row after which a task runs only alone. */
const CRASHES_TO_ISOLATE = 2
/** Numbers of crashes in a row, and of those that only the task can have caused, after which a task is given up and its job fails. */
const CRASHES_TO_GIVE_UP = 3
const SOLE_CRASHES_TO_GIVE_UP = 2
/** Number of crashes in a row after which a task is given up in any case. */
const MAX_CRASHES = 5
/** A worker survives a run that it still lists this long after the start, in milliseconds. Workers that crash under a task do so at its start. */
const SURVIVAL_MS = 2_000

/** True when the last worker that started a task crashed, so that the task must not start beside another suspected one. */
export function isCrashSuspect (task: TaskState): boolean {
  return task.crashes > 0
}

/** True when a task may run only on a worker without runs of other jobs, because workers have crashed under it. */
export function isIsolated (task: TaskState): boolean {
  return task.crashes >= CRASHES_TO_ISOLATE
}

/** True when so many workers have crashed under a task that it must not be started again. */
export function isGivenUp (task: TaskState): boolean {
  return task.crashes >= MAX_CRASHES || (task.crashes >= CRASHES_TO_GIVE_UP && task.soleCrashes >= SOLE_CRASHES_TO_GIVE_UP)
}

/** True if a task belongs to the gang that a step is. The members of a gang need not be told apart, since they fail together. */
export function isGangMember (task: TaskState, step: StepState): boolean {
  return step.spec.isGang && task.step === step
}

/** True when a worker has survived a run that it lists in a list received at `listedAt`, on the planner's clock. */
export function hasSurvivedStart (run: RunState, listedAt: number): boolean {
  return run.runningSince !== undefined && listedAt - run.runningSince > SURVIVAL_MS
}
