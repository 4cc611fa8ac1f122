/**
 * Jobs as callers submit them and as entries return them.
 */
import * as z from 'zod'

import { Adjacency, parseDuration } from './declarations.js'

const MAX_TASKS = 64
const MAX_PAYLOAD_BYTES = 64 * 1024
const KEY_PATTERN = /^[\x21-\x7e]{1,255}$/

/** Path prefix of the job API at an entry's callers' port. */
export const JOBS_PATH = '/v1/jobs'

/** Maximum body size of a submission, in bytes. */
export const MAX_JOB_BYTES = 128 * 1024

const duration = z.string().refine(text => parseDuration(text) !== undefined, 'expected a duration such as "30m" or "4h"')
const payload = z.unknown().refine(value => JSON.stringify(value ?? null).length <= MAX_PAYLOAD_BYTES, `expected at most ${MAX_PAYLOAD_BYTES} bytes of JSON`)

/** A submitted job: JSON with comments in a file for `submit`, plain JSON over HTTP. */
export const jobRequestSchema = z.strictObject({
  class: z.string(),
  organisation: z.string(),
  /** Idempotency key: submitting again with the same key and organisation returns the same job. */
  key: z.string().regex(KEY_PATTERN, 'expected 1 to 255 printable ASCII characters without spaces'),
  tasks: z.number().int().min(1).max(MAX_TASKS).default(1),
  /** Resources of each task. */
  shape: z.strictObject({
    accelerators: z.number().int().min(0).max(1_024),
    cores: z.number().min(0).max(4_096).default(1),
    memoryGb: z.number().min(0).max(65_536).default(1)
  }),
  adjacency: z.enum(Adjacency).default(Adjacency.failureDomain),
  /** Estimated run time of the job; may be inaccurate. */
  runFor: duration,
  checkpointable: z.boolean().default(false),
  /** Passed unchanged to the program that runs the tasks. */
  payload: payload.optional()
})
export type JobRequest = z.infer<typeof jobRequestSchema>

/** A job as an entry returns it. */
export interface JobView {
  readonly id: string
  readonly class: string
  readonly organisation: string
  readonly key: string
  readonly tasks: number
  readonly state: string
  /** Workers that the tasks are placed on; empty while the job has no placement. */
  readonly workers: readonly string[]
  /** Wall-clock time of submission in milliseconds since the epoch. */
  readonly submittedAt: number
  readonly startedAt: number | undefined
  readonly endedAt: number | undefined
  /** Number of times that the job was started. */
  readonly attempts: number
  readonly message: string
}

/** The planner's explanation of why a job is waiting, and when it is expected to start. */
export interface JobExplanation {
  readonly job: JobView
  /** Reasons why the job is waiting, as short sentences, most important first. */
  readonly reasons: readonly string[]
  /** Wall-clock time in milliseconds since the epoch at which the planner expects the job to start. */
  readonly expectedStartAt: number | undefined
}
