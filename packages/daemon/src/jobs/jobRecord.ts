/**
 * Jobs as the store holds them: one record for each job, written by the planner after its creation.
 */
import { createHash } from 'node:crypto'

import type { GangRecord, JobSpec } from '@dragonflylever/core'
import type { JobView } from '@dragonflylever/protocol'

/** The durable record of a job. Times are wall time in milliseconds since the epoch. */
export interface JobRecord {
  readonly spec: JobSpec
  /** JSON text for the program. */
  readonly payload: string
  readonly submittedAt: number
  /** What the planner has decided, as the gang's state machine writes it. */
  readonly gang: GangRecord
  readonly startedAt?: number
  readonly endedAt?: number
  readonly attempts: number
  /** Run time saved in checkpoints. */
  readonly doneMs: number
  /** Last checkpoint of each task, by index. */
  readonly checkpoints: Readonly<Record<string, string>>
  readonly message: string
}

/** Returns the id of a job; the same key and organisation always give the same id. */
export function computeJobId (organisation: string, key: string): string {
  return createHash('sha256').update(`${organisation}\n${key}`).digest('hex').slice(0, 20)
}

/** Returns the prefix of all job keys in the store. */
export function getJobsPrefix (prefix: string): string {
  return `${prefix}/jobs/`
}

/** Returns the store key of a job's record. */
export function getRecordKey (prefix: string, jobId: string): string {
  return `${getJobsPrefix(prefix)}${jobId}/record`
}

/** Returns the store key whose existence asks for a job's cancellation. */
export function getCancelKey (prefix: string, jobId: string): string {
  return `${getJobsPrefix(prefix)}${jobId}/cancel`
}

/** True when the job has reached its end. */
export function hasEnded (record: JobRecord): boolean {
  const { kind } = record.gang.phase
  return kind === 'done' || kind === 'failed' || kind === 'cancelled'
}

/** Describes a job for callers. */
export function describeJob (record: JobRecord): JobView {
  const { spec, gang } = record
  return {
    id: spec.id,
    class: spec.className,
    organisation: spec.organisation,
    key: spec.idempotencyKey,
    tasks: spec.tasks,
    state: gang.phase.kind === 'committed' ? 'running' : gang.phase.kind,
    workers: [...new Set(gang.placement)],
    submittedAt: record.submittedAt,
    startedAt: record.startedAt,
    endedAt: record.endedAt,
    attempts: record.attempts,
    message: record.message
  }
}

/** Creates the gang's part of a new job's record. */
export function createQueuedRecord (jobId: string): GangRecord {
  return { jobId, phase: { kind: 'queued' }, incarnation: 0, placement: [], coveredBy: [], nonce: 'submitted', epoch: 0 }
}
