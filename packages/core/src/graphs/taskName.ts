/**
 * Names of tasks and steps: the job's id, the numbers of the occurrence and of the step and, for a task, its index, joined by dots.
 */

/** The parts of a task's name. */
export interface TaskName {
  readonly jobId: string
  readonly occurrence: number
  readonly step: number
  readonly index: number
}

const TASK_NAME = /^([^.]+)\.(\d+)\.(\d+)\.(\d+)$/

/** Formats the name of a step in one occurrence of a job. */
export function formatStepName (jobId: string, occurrence: number, step: number): string {
  return `${jobId}.${occurrence}.${step}`
}

/** Formats the name of a task. */
export function formatTaskName (name: TaskName): string {
  return `${formatStepName(name.jobId, name.occurrence, name.step)}.${name.index}`
}

/** Parses the name of a task; undefined when the text is not one. */
export function parseTaskName (text: string): TaskName | undefined {
  const match = TASK_NAME.exec(text)
  if (match === null) return undefined
  return { jobId: match[1] ?? '', occurrence: Number(match[2]), step: Number(match[3]), index: Number(match[4]) }
}
