/**
 * Parts of a job's stored progress. A job of up to {@link MAX_PART_TASKS} tasks has one part, its head. The tasks of a larger job are stored in further parts
 * of that size, so that neither a record nor the cost of storing a change grows with the job.
 */
import { countTasks } from './graphTypes.js'
import type { JobGraph } from './graphTypes.js'

/** Maximum number of tasks in a part. With checkpoints and names of workers of the largest size, a part stays below a megabyte. */
export const MAX_PART_TASKS = 256
/** Name of the part with the phase of a job, and with its tasks if there are no other parts. */
export const HEAD_PART = ''

/** True if the tasks of a job are stored apart from its head. */
export function isPartitioned ({ steps, repeat }: Pick<JobGraph, 'steps' | 'repeat'>): boolean {
  return countTasks(steps) * (repeat?.count ?? 1) > MAX_PART_TASKS
}

/** Returns the name of a part: the number of its occurrence, and its number within the occurrence. */
export function formatPartName (occurrence: number, number: number): string {
  return `${occurrence}.${number}`
}

/** `T` is the type of the tasks. */
export class RecordPart<T> {
  readonly name: string
  /** Tasks of the part, in the order of the steps; empty for the head. */
  readonly tasks: T[] = []
  /** True when a checkpoint was reported since the part was last marked for storing. */
  hasNewCheckpoint = false
  private _changedSince: number | undefined
  private _changedAt = 0

  constructor (name: string) {
    this.name = name
  }

  /** First version of the job with a change of this part that may not be stored; undefined if there is none. */
  get changedSince (): number | undefined {
    return this._changedSince
  }

  /** Records that a version of the job changes the part. */
  markChanged (version: number): void {
    this._changedSince ??= version
    this._changedAt = version
    this.hasNewCheckpoint = false
  }

  /** Records that the part is stored as it was in a version of the job. */
  recordStored (version: number): void {
    if (this._changedSince !== undefined && this._changedSince <= version) this._changedSince = this._changedAt > version ? version + 1 : undefined
  }
}
