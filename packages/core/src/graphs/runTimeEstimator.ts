/**
 * Estimates the run times of tasks. Declared run times are far off, so they are combined with the mean observed run time of the queue.
 */
import type { StepState } from './jobState.js'

/** Minimum weight of a new observation in the mean. */
const MIN_GAIN = 0.15
/** Weight of the declared run time, in observations: after this many observations, mean and declared run time count equally. */
const DECLARED_WEIGHT = 4

interface QueueStatistics {
  meanMs: number
  count: number
  meanCoreSeconds: number
  jobCount: number
}

export class RunTimeEstimator {
  private readonly _byQueue = new Map<string, QueueStatistics>()

  /** Updates the mean run time of the step's queue by a run that did the whole task, in milliseconds. */
  learnRunTime (step: StepState, ranMs: number): void {
    const statistics = this._getStatistics(step.job.graph.queue.name)
    statistics.meanMs += (ranMs - statistics.meanMs) * Math.max(MIN_GAIN, 1 / (statistics.count + 1))
    statistics.count++
  }

  /** Updates the mean core-seconds of a queue's jobs by an accepted job. */
  learnCoreSeconds (queue: string, coreSeconds: number): void {
    const statistics = this._getStatistics(queue)
    statistics.jobCount++
    statistics.meanCoreSeconds += (coreSeconds - statistics.meanCoreSeconds) / statistics.jobCount
  }

  /** Returns the mean core-seconds of a queue's jobs; undefined before the first job. */
  getMeanCoreSeconds (queue: string): number | undefined {
    const statistics = this._byQueue.get(queue)
    return statistics === undefined || statistics.jobCount === 0 ? undefined : statistics.meanCoreSeconds
  }

  /** Estimates the run time of a task of a step on a healthy worker near its data, in milliseconds. */
  estimateRunTime (step: StepState): number {
    const statistics = this._byQueue.get(step.job.graph.queue.name)
    if (statistics === undefined || statistics.count === 0) return step.spec.estimatedMs
    const weight = statistics.count / (statistics.count + DECLARED_WEIGHT)
    return statistics.meanMs * weight + step.spec.estimatedMs * (1 - weight)
  }

  private _getStatistics (queue: string): QueueStatistics {
    let statistics = this._byQueue.get(queue)
    if (statistics === undefined) {
      statistics = { meanMs: 0, count: 0, meanCoreSeconds: 0, jobCount: 0 }
      this._byQueue.set(queue, statistics)
    }
    return statistics
  }
}
