/**
 * Measures how well each class of work is served: the share of the value of a queue's recent jobs that those which run or are done will earn. Jobs that
 * ended tell too late, since a job may wait for longer than a burst lasts.
 */
import { computeCoreSeconds, computeValueFactor } from './coreSeconds.js'
import { JobPhase } from './graphTypes.js'
import { MAX_LATE_FACTOR, computeChainMs, computeObjectiveMs, getDueTime } from './jobObjective.js'
import { RunPhase } from './jobState.js'
import type { JobState, StepState } from './jobState.js'
import type { RunTimeEstimator } from './runTimeEstimator.js'

/** Dependencies of {@link ClassShares}. */
export interface ClassSharesDependencies {
  readonly runTimes: RunTimeEstimator
  /** Returns the time of day in milliseconds since 1970. */
  readonly getWallTime: () => number
  /** Lists all known jobs, also those that have ended. */
  readonly listJobs: () => Iterable<JobState>
}

interface ClassTotals {
  owed: number
  served: number
}

/** Value of a late job as a share of its value in time; the value tables list 0.2 to 0.3. */
const LATE_VALUE = 0.25
/** A class counts as served worse than another if its share is below this part of the other's share. */
const WORSE_SHARE = 0.75

export class ClassShares {
  private readonly _dependencies: ClassSharesDependencies
  /** Shares by queue; undefined until they are needed in a scheduler pass. */
  private _shares: ReadonlyMap<string, number> | undefined

  constructor (dependencies: ClassSharesDependencies) {
    this._dependencies = dependencies
  }

  /** Begins a scheduler pass: the shares are computed anew when they are needed. */
  beginPass (): void {
    this._shares = undefined
  }

  /** True if the share of a queue is below {@link WORSE_SHARE} of the share of another queue. A queue without recent jobs counts as fully served. */
  isServedWorse (queue: string, other: string): boolean {
    return this._getShare(queue) < WORSE_SHARE * this._getShare(other)
  }

  /** Returns the share of each queue with recent jobs, from 0 to 1. */
  getShares (): ReadonlyMap<string, number> {
    this._shares ??= this._computeShares()
    return this._shares
  }

  private _getShare (queue: string): number {
    return this.getShares().get(queue) ?? 1
  }

  private _computeShares (): Map<string, number> {
    const totals = new Map<string, ClassTotals>()
    for (const job of this._dependencies.listJobs()) if (isCounted(job)) this._addJob(job, totals)
    return new Map([...totals].map(([queue, { owed, served }]) => [queue, served / owed]))
  }

  /** Adds the occurrences of a job that are so recent that they could still have a value. */
  private _addJob ({ graph, occurrences, endedAt }: JobState, totals: Map<string, ClassTotals>): void {
    const { runTimes, getWallTime } = this._dependencies
    const { queue } = graph
    for (const [occurrence, steps] of occurrences) {
      const dueAt = getDueTime(graph, occurrence)
      const objectiveMs = computeObjectiveMs(queue, computeChainMs(steps, step => runTimes.estimateRunTime(step)))
      if (getWallTime() - dueAt > MAX_LATE_FACTOR * objectiveMs) continue
      const coreSeconds = this._computeCoreSeconds(steps, step => step.spec.count)
      const started = coreSeconds === 0 ? 1 : this._computeCoreSeconds(steps, countStartedTasks) / coreSeconds
      const leftMs = computeChainMs(steps, step => step.remaining === 0 ? 0 : runTimes.estimateRunTime(step))
      // A job that has not ended counts as late if its remaining steps, started now, would end too late.
      const isLate = (endedAt ?? getWallTime() + leftMs) - dueAt > objectiveMs
      const value = computeValueFactor(coreSeconds, runTimes.getMeanCoreSeconds(queue.name))
      const total = totals.get(queue.name) ?? { owed: 0, served: 0 }
      totals.set(queue.name, { owed: total.owed + value, served: total.served + value * started * (isLate ? LATE_VALUE : 1) })
    }
  }

  private _computeCoreSeconds (steps: readonly StepState[], countTasks: (step: StepState) => number): number {
    return steps.reduce((sum, step) => sum + countTasks(step) * computeCoreSeconds(step.spec, this._dependencies.runTimes.estimateRunTime(step)), 0)
  }
}

/** Long-running work never completes, and jobs that failed or were cancelled say nothing about the capacity that their class gets. */
function isCounted ({ phase, graph }: JobState): boolean {
  return phase !== JobPhase.failed && phase !== JobPhase.cancelled && !graph.steps.some(step => step.isLongRunning)
}

function countStartedTasks (step: StepState): number {
  return step.tasks.filter(task => task.isDone || task.runs.some(run => run.phase !== RunPhase.stopping)).length
}
