/**
 * Estimates the run times of tasks on a worker of middle speed near the data. Declared run times are far off, by factors that differ between queues, so they are
 * weighed against the observed run times of the queue.
 */
import type { StepState } from './jobState.js'
import { QueueRunTimes } from './queueRunTimes.js'
import type { QueueRunTimesRecord } from './queueRunTimes.js'

/** A task that takes longer than this share of the queue's tasks is a straggler; in the example deployments, 3% of tasks take 7 times as long as usual. */
const STRAGGLER_SHARE = 0.95
/** Maximum number of queues whose run times are known. */
const MAX_QUEUES = 1_024

interface CoreSeconds {
  mean: number
  jobCount: number
}

export class RunTimeEstimator {
  /** Run times by queue; the queue with the latest observation comes last. */
  private readonly _queues = new Map<string, QueueRunTimes>()
  /** Stands for queues without observations. */
  private readonly _unknownQueue = new QueueRunTimes()
  private readonly _coreSeconds = new Map<string, CoreSeconds>()

  /**
   * Records the run times of the tasks of a step that ran together, in milliseconds on a worker of middle speed near the data. Together they count as one
   * observation.
   */
  learnRunTimes (step: StepState, timesMs: readonly number[]): void {
    if (timesMs.length === 0) return
    const { name } = step.job.graph.queue
    const queue = this._queues.get(name) ?? new QueueRunTimes()
    this._queues.delete(name)
    this._queues.set(name, queue)
    const [oldest] = this._queues.keys()
    if (this._queues.size > MAX_QUEUES && oldest !== undefined) this._queues.delete(oldest)
    for (const ms of timesMs) queue.learn(step.spec, ms, 1 / timesMs.length)
  }

  /** Updates the mean core-seconds of a queue's jobs by an accepted job. */
  learnCoreSeconds (queue: string, coreSeconds: number): void {
    const known = this._coreSeconds.get(queue) ?? { mean: 0, jobCount: 0 }
    this._coreSeconds.set(queue, known)
    known.jobCount++
    known.mean += (coreSeconds - known.mean) / known.jobCount
  }

  /** Returns the mean core-seconds of a queue's jobs; undefined before the first job. */
  getMeanCoreSeconds (queue: string): number | undefined {
    return this._coreSeconds.get(queue)?.mean
  }

  /** Estimates the run time of a task of a step on a healthy worker of middle speed near its data, in milliseconds. */
  estimateRunTime (step: StepState): number {
    return this._queues.get(step.job.graph.queue.name)?.estimate(step.spec) ?? step.spec.estimatedMs
  }

  /** Estimates the run time, in milliseconds on such a worker, below which the given share of the tasks of a step ends; `share` lies between 0 and 1. */
  estimateQuantile (step: StepState, share: number): number {
    return (this._queues.get(step.job.graph.queue.name) ?? this._unknownQueue).estimateQuantile(step.spec, share)
  }

  /** Returns the run time on such a worker from which a task of a step is a straggler, in milliseconds. */
  estimateStragglerTime (step: StepState): number {
    return this.estimateQuantile(step, STRAGGLER_SHARE)
  }

  /** Lists what is known of each queue, for storing; the queue with the latest observation comes first. */
  encode (): Array<readonly [queue: string, record: QueueRunTimesRecord]> {
    return [...this._queues].reverse().map(([name, queue]) => [name, queue.encode()] as const)
  }

  /** Takes over what an earlier planner has stored. */
  restore (records: ReadonlyArray<readonly [queue: string, record: QueueRunTimesRecord]>): void {
    for (const [name, record] of [...records].reverse()) if (!this._queues.has(name) && this._queues.size < MAX_QUEUES) this._queues.set(name, QueueRunTimes.restore(record))
  }
}
