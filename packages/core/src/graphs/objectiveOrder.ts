/**
 * Orders waiting steps by their objectives and values. Urgent steps (priority 0) that can still meet their objective come first, ordered by
 * the time to spare. Urgent steps that are late but still have a value follow, by value per core-second: in a burst of urgent work beyond
 * the capacity of the fleet, serving the latest first would make every job late. All other steps are ordered by value per core-second. Work
 * that is too late to have any value comes last.
 */
import { computeValueFactor } from './coreSeconds.js'
import type { QueuePolicy } from './graphTypes.js'
import { MAX_LATE_FACTOR, computeObjectiveMs, computeSlackMs, getDueTime } from './jobObjective.js'
import type { StepState } from './jobState.js'
import { OccurrenceTimes } from './occurrenceTimes.js'
import type { RunTimeEstimator } from './runTimeEstimator.js'
import type { WaitingOrder, WaitingStep } from './waitingStep.js'

/**
 * Value of a job that ends within its objective, for the priorities 0, 1 and 2, as listed in the value tables for requests; all priorities
 * below have the value of priority 2.
 */
const VALUE_BY_PRIORITY = [4, 3, 1] as const

/** Tiers of waiting steps; all steps of a lower tier come first. */
const Tier = { urgent: 0, urgentLate: 1, other: 2, worthless: 3 } as const
type Tier = typeof Tier[keyof typeof Tier]

/** Place in the order: the tier, and within it the key, the lowest first. */
interface Rank {
  readonly tier: Tier
  readonly key: number
}

/** Dependencies of {@link ObjectiveOrder}. */
export interface ObjectiveOrderDependencies {
  readonly runTimes: RunTimeEstimator
  /** Returns the time of day in milliseconds since 1970. */
  readonly getWallTime: () => number
}

export class ObjectiveOrder implements WaitingOrder {
  private readonly _dependencies: ObjectiveOrderDependencies
  private readonly _occurrenceTimes: OccurrenceTimes

  constructor (dependencies: ObjectiveOrderDependencies) {
    this._dependencies = dependencies
    this._occurrenceTimes = new OccurrenceTimes(dependencies.runTimes)
  }

  sort (steps: readonly WaitingStep[], now: number): WaitingStep[] {
    const ranks = new Map<readonly StepState[] | undefined, Rank>()
    const ranked = steps.map(step => {
      const { job, occurrence } = step.step
      const members = job.occurrences.get(occurrence)
      const rank = ranks.get(members) ?? this._rankOccurrence(step, now)
      ranks.set(members, rank)
      return { step, rank }
    })
    ranked.sort((a, b) => a.rank.tier - b.rank.tier || a.rank.key - b.rank.key)
    return ranked.map(({ step }) => step)
  }

  /** Returns the rank of a waiting step, which all steps of its occurrence share. */
  private _rankOccurrence (waiting: WaitingStep, now: number): Rank {
    const { job } = waiting.step
    const { queue } = job.graph
    const { chainMs, coreSeconds } = this._occurrenceTimes.getRemaining(waiting.step, now)
    const wallTime = this._dependencies.getWallTime()
    const slackMs = computeSlackMs(job.graph, waiting.step.occurrence, chainMs, wallTime)
    if (queue.priority === 0 && slackMs >= 0) return { tier: Tier.urgent, key: slackMs }
    const ageMs = wallTime - getDueTime(job.graph, waiting.step.occurrence)
    const isWorthless = MAX_LATE_FACTOR * computeObjectiveMs(queue, chainMs) < ageMs + chainMs
    const tier = isWorthless ? Tier.worthless : queue.priority === 0 ? Tier.urgentLate : Tier.other
    return { tier, key: -this._computeValueDensity(coreSeconds, queue) }
  }

  private _computeValueDensity (coreSeconds: number, queue: QueuePolicy): number {
    const queueValue = VALUE_BY_PRIORITY[Math.min(queue.priority, VALUE_BY_PRIORITY.length - 1)] ?? 1
    return queueValue * computeValueFactor(coreSeconds, this._dependencies.runTimes.getMeanCoreSeconds(queue.name)) / Math.max(coreSeconds, 0.001)
  }
}
