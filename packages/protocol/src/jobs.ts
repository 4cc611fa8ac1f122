/**
 * Jobs as callers submit them and as entries tell of them.
 */
import * as z from 'zod'

import { Adjacency, parseDuration } from './declarations.js'

const MAX_TASKS = 64
const MAX_PAYLOAD_BYTES = 64 * 1024
const KEY_PATTERN = /^[\x21-\x7e]{1,255}$/

/** Path prefix of the calls for jobs at an entry's port for callers. */
export const JOBS_PATH = '/v1/jobs'

/** Largest body of a submission, in bytes. */
export const MAX_JOB_BYTES = 128 * 1024

const duration = z.string().refine(text => parseDuration(text) !== undefined, 'expected a duration such as "30m" or "4h"')
const payload = z.unknown().refine(value => JSON.stringify(value ?? null).length <= MAX_PAYLOAD_BYTES, `expected at most ${MAX_PAYLOAD_BYTES} bytes of JSON`)

/** A job file: JSON with comments for `submit`, JSON over HTTP. */
export const jobRequestSchema = z.strictObject({
  class: z.string(),
  organisation: z.string(),
  /** A repeat with the same key and organisation gives the same job. */
  key: z.string().regex(KEY_PATTERN, 'expected 1 to 255 printable ASCII characters without spaces'),
  tasks: z.number().int().min(1).max(MAX_TASKS).default(1),
  /** What each task needs. */
  shape: z.strictObject({
    accelerators: z.number().int().min(0).max(1_024),
    cores: z.number().min(0).max(4_096).default(1),
    memoryGb: z.number().min(0).max(65_536).default(1)
  }),
  adjacency: z.enum(Adjacency).default(Adjacency.failureDomain),
  /** Expected run time; may be far off. */
  runFor: duration,
  checkpointable: z.boolean().default(false),
  /** Given to the program as it is. */
  payload: payload.optional()
})
export type JobRequest = z.infer<typeof jobRequestSchema>

/** A job as an entry tells of it. */
export interface JobView {
  readonly id: string
  readonly class: string
  readonly organisation: string
  readonly key: string
  readonly tasks: number
  readonly state: string
  /** Hosts of the tasks while the job has a place. */
  readonly workers: readonly string[]
  /** Wall time in milliseconds since the epoch. */
  readonly submittedAt: number
  readonly startedAt: number | undefined
  readonly endedAt: number | undefined
  /** Number of starts so far. */
  readonly attempts: number
  readonly message: string
}

/** Why a job waits, from the planner. */
export interface JobExplanation {
  readonly job: JobView
  /** Short sentences, the most important first. */
  readonly reasons: readonly string[]
  /** Wall time at which the planner expects the start, in milliseconds since the epoch. */
  readonly expectedStartAt: number | undefined
}
