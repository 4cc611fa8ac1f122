/**
 * What a planner has learned of workers and queues, as the next planner takes it over.
 */
import type { QueueRunTimesRecord } from './queueRunTimes.js'

/** A measured worker: its incarnation, natural logarithm of its factor, and whether a slowdown for some seconds can't explain that. */
export interface WorkerSpeedRecord {
  readonly id: string
  /** Wall time at which the worker's incarnation started, in milliseconds since 1970. */
  readonly born: number
  readonly logFactor: number
  readonly isConfirmed: boolean
}

/** Speeds of workers relative to each other. */
export interface WorkerSpeedsRecord {
  readonly hasDifferences: boolean
  /** Standard deviation of the logarithms of factors that is expected of a new worker. */
  readonly newDeviation: number
  readonly workers: readonly WorkerSpeedRecord[]
}

/** Everything that a planner has learned. The queue with the latest observation comes first. */
export interface LearnedRecord {
  readonly speeds: WorkerSpeedsRecord
  readonly queues: ReadonlyArray<readonly [queue: string, runTimes: QueueRunTimesRecord]>
}
