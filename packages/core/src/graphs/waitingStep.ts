/**
 * Steps that could start tasks now, and the order in which they get places.
 */
import { isActive } from './jobState.js'
import type { JobState, StepState, TaskState } from './jobState.js'

/** A step with the tasks that could start now; those of a gang start together. */
export interface WaitingStep {
  readonly step: StepState
  readonly tasks: readonly TaskState[]
  /** Since when it could start, on the planner's clock. */
  readonly since: number
}

/** Sorts waiting steps; the first gets its place first. */
export interface WaitingOrder {
  sort (steps: readonly WaitingStep[], now: number): WaitingStep[]
}

/** Lists the steps of a job that could start tasks now. */
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
