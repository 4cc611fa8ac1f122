/**
 * Learns how long tasks really take. Declared times are far off, so the mean of what a queue's tasks took tempers them.
 */
import type { StepState } from './jobState.js'

/** Weight of a new observation. */
const MIN_GAIN = 0.15
/** Observations after which the learned mean counts as much as the declared time. */
const DECLARED_WEIGHT = 4

interface QueueStatistics {
  meanMs: number
  count: number
  meanCoreSeconds: number
  jobCount: number
}

export class RunTimeEstimator {
  private readonly _byQueue = new Map<string, QueueStatistics>()

  /** Notes how long a whole run took. */
  learnRunTime (step: StepState, ranMs: number): void {
    const statistics = this._getStatistics(step.job.graph.queue.name)
    statistics.meanMs += (ranMs - statistics.meanMs) * Math.max(MIN_GAIN, 1 / (statistics.count + 1))
    statistics.count++
  }

  /** Notes the core-seconds of a job that was accepted. */
  learnCoreSeconds (queue: string, coreSeconds: number): void {
    const statistics = this._getStatistics(queue)
    statistics.jobCount++
    statistics.meanCoreSeconds += (coreSeconds - statistics.meanCoreSeconds) / statistics.jobCount
  }

  /** Mean core-seconds of a queue's jobs; undefined before the first. */
  getMeanCoreSeconds (queue: string): number | undefined {
    const statistics = this._byQueue.get(queue)
    return statistics === undefined || statistics.jobCount === 0 ? undefined : statistics.meanCoreSeconds
  }

  /** Estimates how long a task of a step takes on a sound worker near its data. */
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
