/**
 * Assigns the tasks of an occurrence to parts of the job's stored progress, in their order.
 */
import { HEAD_PART, MAX_PART_TASKS, RecordPart, formatPartName } from './recordPart.js'

/** Options of {@link PartAllocator}. */
export interface PartAllocatorOptions<T> {
  /** Parts of the job, by name, to which those of the occurrence are added. */
  readonly parts: Map<string, RecordPart<T>>
  readonly occurrence: number
  /** False if all tasks belong to the head. */
  readonly isPartitioned: boolean
}

export class PartAllocator<T> {
  private readonly _options: PartAllocatorOptions<T>
  private _part: RecordPart<T> | undefined
  private _count = 0

  constructor (options: PartAllocatorOptions<T>) {
    this._options = options
  }

  /** Returns the part of the next task, which the caller adds to it. */
  take (): RecordPart<T> {
    const { parts, occurrence, isPartitioned } = this._options
    if (!isPartitioned) return parts.get(HEAD_PART) as RecordPart<T>
    if (this._part === undefined || this._part.tasks.length >= MAX_PART_TASKS) {
      this._part = new RecordPart<T>(formatPartName(occurrence, this._count++))
      parts.set(this._part.name, this._part)
    }
    return this._part
  }
}
