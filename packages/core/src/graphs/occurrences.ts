/**
 * Occurrences of repeated jobs: which of them the planner holds. A job may be due any number of times, for example after an outage or with a first time in the past, so those
 * that are not done are created a limited number at a time, and those that are done are dropped.
 */
import { countTasks } from './graphTypes.js'
import { addOccurrence, countOccurrences, markChanged } from './jobState.js'
import type { JobState, StepState } from './jobState.js'
import { HEAD_PART } from './recordPart.js'

/** Number of tasks in the occurrences of a job that are not done, beyond which no further occurrence is created. */
const MAX_OPEN_TASKS = 1_000
/** Number of occurrences that may always overlap, however large they are. */
const MIN_OPEN_OCCURRENCES = 2
/** Number of occurrences, and of their tasks, above which those that are done are dropped. */
const MAX_KEPT_OCCURRENCES = 100
const MAX_KEPT_TASKS = 2_000

/** Creates the occurrences of a repeated job that are due by `wallTime`, in milliseconds since 1970, as far as the limits and `isRoom` allow, and drops done ones. */
export function updateOccurrences (job: JobState, wallTime: number, isRoom = (): boolean => true): void {
  const { repeat, steps } = job.graph
  if (repeat === undefined) return
  dropDoneOccurrences(job)
  const maxOpen = Math.max(MIN_OPEN_OCCURRENCES, Math.floor(MAX_OPEN_TASKS / countTasks(steps)))
  for (let open = countOpenOccurrences(job); open < maxOpen && job.nextOccurrence < countOccurrences(job.graph); open++) {
    if (repeat.firstRunAt + job.nextOccurrence * repeat.intervalMs > wallTime || !isRoom()) return
    addOccurrence(job, job.nextOccurrence)
    markChanged(job)
  }
}

/** True once all occurrences of a job are done. Looks at the occurrences themselves: a step can end more than once, for example with each member of a gang. */
export function isJobDone (job: JobState): boolean {
  return job.nextOccurrence >= countOccurrences(job.graph) && countOpenOccurrences(job) === 0
}

/** Counts the occurrences that were created and are not done. */
function countOpenOccurrences (job: JobState): number {
  let count = 0
  for (const steps of job.occurrences.values()) if (!isOccurrenceDone(steps)) count++
  return count
}

/** True once all tasks of an occurrence are done. */
function isOccurrenceDone (steps: readonly StepState[]): boolean {
  return steps.every(step => step.remaining === 0)
}

/** Number of occurrences that are done and no longer held. */
export function countDroppedOccurrences (job: JobState): number {
  return job.nextOccurrence - job.occurrences.size
}

/** Drops done occurrences without runs, the oldest first. */
function dropDoneOccurrences (job: JobState): void {
  const maxKept = Math.min(MAX_KEPT_OCCURRENCES, Math.ceil(MAX_KEPT_TASKS / countTasks(job.graph.steps)))
  if (job.occurrences.size <= maxKept) return
  for (const [number, steps] of [...job.occurrences].sort(([a], [b]) => a - b)) {
    if (job.occurrences.size <= maxKept) break
    const isIdle = steps.every(step => step.tasks.every(task => task.runs.length === 0))
    if (!isIdle || !isOccurrenceDone(steps)) continue
    job.occurrences.delete(number)
    dropParts(job, number)
    markChanged(job)
  }
}

/** Drops the parts of an occurrence from the job's stored progress. */
function dropParts (job: JobState, occurrence: number): void {
  for (const name of [...job.parts.keys()]) {
    if (name === HEAD_PART || Number(name.split('.')[0]) !== occurrence) continue
    job.parts.delete(name)
    job.droppedParts.add(name)
  }
}
