/**
 * What a job earned for its client: its full value within its objective, a smaller one up to three times the objective, and nothing later. The value
 * grows with the job's work.
 */
import { computeCoreSeconds, computeValueFactor } from '@dragonflylever/core/graphs/coreSeconds'
import { countTasks } from '@dragonflylever/core/graphs/graphTypes'

import type { GraphArrival } from './graphWorkload.js'

/** Values of a job of mean size by priority, in time and late, as the request tables list them. */
const VALUES = [{ inTime: 4, late: 0.8 }, { inTime: 3, late: 0.9 }, { inTime: 1, late: 0.3 }] as const
const MAX_LATE_FACTOR = 3

export const JobResult = { inTime: 'inTime', late: 'late', unserved: 'unserved' } as const
export type JobResult = typeof JobResult[keyof typeof JobResult]

export interface JobScore {
  readonly queue: string
  readonly organisation: string
  readonly tasks: number
  readonly result: JobResult
  readonly earned: number
  readonly owed: number
}

/** Returns the core-seconds of all tasks of a job. */
export function computeWork ({ graph, runMs }: GraphArrival): number {
  return graph.steps.reduce((sum, step, index) => sum + step.count * computeCoreSeconds(step, runMs[index] ?? 0), 0)
}

/**
 * Scores a job by the time at which it completed, in milliseconds of the simulation; undefined if it did not. `meanWork` is the mean of the core-seconds
 * of the jobs of its queue.
 */
export function scoreJob (arrival: GraphArrival, endedAt: number | undefined, meanWork: number): JobScore {
  const { queue, organisation, steps } = arrival.graph
  const chainMs = arrival.runMs.reduce((sum, ms) => sum + ms, 0)
  const objectiveMs = queue.stretch * chainMs + queue.targetLatencyMs
  const tookMs = endedAt === undefined ? Infinity : endedAt - arrival.at
  const result = tookMs <= objectiveMs ? JobResult.inTime : tookMs <= MAX_LATE_FACTOR * objectiveMs ? JobResult.late : JobResult.unserved
  const values = VALUES[queue.priority] ?? VALUES[2]
  const factor = computeValueFactor(computeWork(arrival), meanWork)
  const earned = result === JobResult.unserved ? 0 : values[result] * factor
  return { queue: queue.name, organisation, tasks: countTasks(steps), result, earned, owed: values.inTime * factor }
}
