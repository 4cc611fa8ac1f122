/**
 * Orders waiting steps by what is owed: priority 0 first, by the time left to its objective; the rest by value per capacity,
 * where work that can still meet its objective goes before work that can't.
 */
import { computeCoreSeconds, computeValueFactor } from './coreSeconds.js'
import type { QueuePolicy } from './graphTypes.js'
import type { RunTimeEstimator } from './runTimeEstimator.js'
import type { WaitingOrder, WaitingStep } from './waitingStep.js'

/** Value of a job in time by priority, from the users' tables of requests; a lower priority counts as the last. */
const VALUE_BY_PRIORITY = [4, 3, 1] as const
/** Objectives up to this factor late still earn; from the users' rules on benefit. */
const MAX_LATE_FACTOR = 3

/** What an order needs to know. */
export interface ObjectiveOrderParts {
  readonly runTimes: RunTimeEstimator
  /** Returns the time of day in milliseconds since 1970. */
  readonly getWallTime: () => number
}

export class ObjectiveOrder implements WaitingOrder {
  private readonly _parts: ObjectiveOrderParts

  constructor (parts: ObjectiveOrderParts) {
    this._parts = parts
  }

  sort (steps: readonly WaitingStep[]): WaitingStep[] {
    const ranked = steps.map(step => ({ step, rank: this._rank(step) }))
    ranked.sort((a, b) => a.rank.tier - b.rank.tier || a.rank.key - b.rank.key)
    return ranked.map(({ step }) => step)
  }

  private _rank (waiting: WaitingStep): { tier: number, key: number } {
    const { job } = waiting.step
    const { queue } = job.graph
    const chainMs = this._computeChainMs(waiting)
    const ageMs = this._parts.getWallTime() - this._getDueTime(waiting)
    const objectiveMs = queue.stretch * chainMs + queue.targetLatencyMs
    const slackMs = objectiveMs - ageMs - chainMs
    if (queue.priority === 0) return { tier: 0, key: slackMs }
    const isTooLate = MAX_LATE_FACTOR * objectiveMs < ageMs + chainMs
    return { tier: isTooLate ? 2 : 1, key: -this._computeValueDensity(waiting, queue) }
  }

  private _getDueTime (waiting: WaitingStep): number {
    const { graph } = waiting.step.job
    return graph.repeat === undefined ? graph.acceptedAt : graph.repeat.firstRunAt + waiting.step.occurrence * graph.repeat.intervalMs
  }

  /** Work that is still ahead of the job on its longest chain. */
  private _computeChainMs (waiting: WaitingStep): number {
    const steps = waiting.step.job.occurrences.get(waiting.step.occurrence) ?? []
    const ends: number[] = []
    for (const step of steps) {
      const stepMs = step.remaining === 0 ? 0 : this._parts.runTimes.estimateRunTime(step)
      ends.push(stepMs + Math.max(0, ...step.spec.after.map(index => ends[index] ?? 0)))
    }
    return Math.max(...ends)
  }

  private _computeValueDensity (waiting: WaitingStep, queue: QueuePolicy): number {
    const coreSeconds = this._computeCoreSeconds(waiting)
    const queueValue = VALUE_BY_PRIORITY[Math.min(queue.priority, VALUE_BY_PRIORITY.length - 1)] ?? 1
    return queueValue * computeValueFactor(coreSeconds, this._parts.runTimes.getMeanCoreSeconds(queue.name)) / Math.max(coreSeconds, 0.001)
  }

  /** Core-seconds that the occurrence still takes. */
  private _computeCoreSeconds (waiting: WaitingStep): number {
    const steps = waiting.step.job.occurrences.get(waiting.step.occurrence) ?? []
    return steps.reduce((sum, step) => sum + step.remaining * computeCoreSeconds(step.spec, this._parts.runTimes.estimateRunTime(step)), 0)
  }
}
