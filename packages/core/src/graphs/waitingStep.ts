/**
 * Steps that are ready to start tasks, and the order in which they are placed.
 */
import { isActive } from './jobState.js'
import type { JobState, StepState, TaskState } from './jobState.js'

/** A step with its tasks that are ready to start; the tasks of a gang start together. */
export interface WaitingStep {
  readonly step: StepState
  readonly tasks: readonly TaskState[]
  /** When the step became ready to start tasks, on the planner's clock. */
  readonly since: number
}

/** Sorts waiting steps in the order in which they are placed. */
export interface WaitingOrder {
  sort (steps: readonly WaitingStep[], now: number): WaitingStep[]
}

/** Lists the steps of a job that are ready to start tasks. */
export function listWaitingSteps (job: JobState, now: number): WaitingStep[] {
  if (!isActive(job)) return []
  const waiting: WaitingStep[] = []
  for (const steps of job.occurrences.values()) {
    for (const step of steps) {
      const tasks = listReadyTasks(step, steps)
      if (tasks.length === 0) continue
      step.readySince ??= now
      waiting.push({ step, tasks, since: step.readySince })
    }
  }
  return waiting
}

function listReadyTasks (step: StepState, steps: readonly StepState[]): TaskState[] {
  if (step.remaining === 0) return []
  const isBlocked = step.spec.after.some(index => (steps[index]?.remaining ?? 0) > 0)
  if (isBlocked) return []
  const tasks = step.tasks.filter(task => !task.isDone && task.runs.length === 0)
  const isWhole = tasks.length === step.tasks.length
  return step.spec.isGang && !isWhole ? [] : tasks
}
