/**
 * Records of jobs in the store. An entry creates one record for each job; afterwards only the planner writes it.
 */
import { createHash } from 'node:crypto'

import type { GangRecord, JobSpec } from '@dragonflylever/core'
import type { JobView } from '@dragonflylever/protocol'

/** The durable record of a job. Times are wall times in milliseconds since the Unix epoch. */
export interface JobRecord {
  readonly spec: JobSpec
  /** JSON text that is passed to the program of each task. */
  readonly payload: string
  readonly submittedAt: number
  /** State of the job's gang, as last recorded by its state machine. */
  readonly gang: GangRecord
  readonly startedAt?: number
  readonly endedAt?: number
  readonly attempts: number
  /** Run time whose results the checkpoints preserve, so that it need not be repeated, in milliseconds. */
  readonly doneMs: number
  /** Last checkpoint of each task, by task index. */
  readonly checkpoints: Readonly<Record<string, string>>
  readonly message: string
}

/** Computes the id of a job from its organisation and idempotency key. */
export function computeJobId (organisation: string, key: string): string {
  return createHash('sha256').update(`${organisation}\n${key}`).digest('hex').slice(0, 20)
}

/** Returns the prefix of the store keys of all jobs. */
export function getJobsPrefix (prefix: string): string {
  return `${prefix}/jobs/`
}

/** Returns the store key of a job's record. */
export function getJobRecordKey (prefix: string, jobId: string): string {
  return `${getJobsPrefix(prefix)}${jobId}/record`
}

/** Returns the store key whose existence requests cancellation of a job. */
export function getCancelKey (prefix: string, jobId: string): string {
  return `${getJobsPrefix(prefix)}${jobId}/cancel`
}

/** Returns true if the job is done, failed or cancelled. */
export function hasEnded (record: JobRecord): boolean {
  const { kind } = record.gang.phase
  return kind === 'done' || kind === 'failed' || kind === 'cancelled'
}

/** Builds the view of a job that clients are shown. */
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

/** Creates the gang record of a newly submitted job. */
export function createQueuedGangRecord (jobId: string): GangRecord {
  return { jobId, phase: { kind: 'queued' }, incarnation: 0, placement: [], coveredBy: [], nonce: 'submitted', epoch: 0 }
}
