/**
 * What a job earned for its client: its full value within its objective, a smaller one up to three times the objective, and nothing later.
 */
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

/** Scores a job by the time at which it completed, in milliseconds of the simulation; undefined if it did not. */
export function scoreJob (arrival: GraphArrival, endedAt: number | undefined): JobScore {
  const { queue, organisation, steps } = arrival.graph
  const chainMs = arrival.runMs.reduce((sum, ms) => sum + ms, 0)
  const objectiveMs = queue.stretch * chainMs + queue.targetLatencyMs
  const tookMs = endedAt === undefined ? Infinity : endedAt - arrival.at
  const result = tookMs <= objectiveMs ? JobResult.inTime : tookMs <= MAX_LATE_FACTOR * objectiveMs ? JobResult.late : JobResult.unserved
  const values = VALUES[queue.priority] ?? VALUES[2]
  const earned = result === JobResult.unserved ? 0 : values[result]
  return { queue: queue.name, organisation, tasks: steps.reduce((sum, step) => sum + step.count, 0), result, earned, owed: values.inTime }
}
