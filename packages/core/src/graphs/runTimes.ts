/**
 * Learns how long tasks really take. Declared times are far off, so the mean of what a queue's tasks took tempers them.
 */
import type { StepState } from './jobState.js'

/** Weight of a new observation. */
const GAIN = 0.15
/** Observations after which the learned mean counts as much as the declared time. */
const TRUST_COUNT = 4

interface Learned {
  meanMs: number
  count: number
  meanWork: number
  works: number
}

export class RunTimes {
  private readonly _byQueue = new Map<string, Learned>()

  /** Notes how long a whole run took. */
  learn (step: StepState, ranMs: number): void {
    const learned = this._get(step.job.graph.queue.name)
    learned.meanMs += (ranMs - learned.meanMs) * Math.max(GAIN, 1 / (learned.count + 1))
    learned.count++
  }

  /** Notes the core-seconds of a job that was accepted. */
  learnWork (queue: string, coreSeconds: number): void {
    const learned = this._get(queue)
    learned.works++
    learned.meanWork += (coreSeconds - learned.meanWork) / learned.works
  }

  /** Mean core-seconds of a queue's jobs; undefined before the first. */
  getMeanWork (queue: string): number | undefined {
    const learned = this._byQueue.get(queue)
    return learned === undefined || learned.works === 0 ? undefined : learned.meanWork
  }

  /** Estimates how long a task of a step takes on a sound worker near its data. */
  estimate (step: StepState): number {
    const learned = this._byQueue.get(step.job.graph.queue.name)
    if (learned === undefined || learned.count === 0) return step.spec.estimatedMs
    const weight = learned.count / (learned.count + TRUST_COUNT)
    return learned.meanMs * weight + step.spec.estimatedMs * (1 - weight)
  }

  private _get (queue: string): Learned {
    let learned = this._byQueue.get(queue)
    if (learned === undefined) {
      learned = { meanMs: 0, count: 0, meanWork: 0, works: 0 }
      this._byQueue.set(queue, learned)
    }
    return learned
  }
}
