/**
 * Explains to clients in short sentences why a job is waiting.
 */
import type { Reservation, RunningJob, WaitingJob, WorkerDescription } from '@dragonflylever/core'

import type { RegisteredJob } from './jobRegistry.js'

/** Why a job is waiting, and the wall time at which it is expected to start, in milliseconds, if known. */
export interface PlannerExplanation {
  readonly reasons: string[]
  readonly expectedStartAt?: number
}

/** Input of {@link explainJob}: the job, and the planner's current workers, jobs and reservations. */
export interface ExplainInput {
  readonly job: RegisteredJob | undefined
  readonly workers: readonly WorkerDescription[]
  readonly running: readonly RunningJob[]
  readonly waiting: readonly WaitingJob[]
  readonly reservations: readonly Reservation[]
}

/** Explains why a job is waiting. If `job` is undefined in the input, the planner does not know the job yet. */
export function explainJob (input: ExplainInput): PlannerExplanation {
  const { job } = input
  if (job === undefined) return { reasons: ['the planner has not taken the job up yet'] }
  if (job.gang.stage !== 'queued') return { reasons: [`the gang is ${job.gang.stage}, incarnation ${job.gang.incarnation}, on ${[...new Set(job.gang.placement)].join(', ')}`] }
  if (job.neverFitsMessage !== undefined) return { reasons: [job.neverFitsMessage, 'it is failed when this has stood for ten minutes', describeFreeCapacity(input)] }
  const reservation = input.reservations.find(item => item.jobId === job.jobId)
  const reasons = [describeRequiredCapacity(job), describeFreeCapacity(input), `${input.waiting.length} jobs wait, this one included`]
  if (reservation === undefined) return { reasons }
  reasons.push(`workers ${reservation.workers.join(', ')} are kept for it`)
  return { reasons, expectedStartAt: reservation.expectedStartAt }
}

function describeRequiredCapacity (job: RegisteredJob): string {
  const { spec } = job.record
  return `it waits for ${spec.tasks * spec.shape.accelerators} accelerators (${spec.tasks} tasks of ${spec.shape.accelerators}) within one ${spec.adjacency}`
}

function describeFreeCapacity (input: ExplainInput): string {
  const ready = input.workers.filter(worker => worker.state === 'ready')
  const total = ready.reduce((sum, worker) => sum + worker.accelerators, 0)
  const used = input.running.reduce((sum, job) => sum + job.placement.length * job.spec.shape.accelerators, 0)
  return `${Math.max(0, total - used)} of ${total} accelerators are free on ${ready.length} workers; ${input.workers.length - ready.length} workers take no new tasks`
}
