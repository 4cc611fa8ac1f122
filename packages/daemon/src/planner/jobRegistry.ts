/**
 * The unfinished jobs of one planner session, each with its durable record and the state of its gang's state machine.
 */
import { restoreGang } from '@dragonflylever/core'
import type { Gang, GangTimes, RunningJob, WaitingJob } from '@dragonflylever/core'
import type { TaskReportMessage } from '@dragonflylever/protocol'

import { hasEnded } from '../jobs/jobRecord.js'
import type { JobRecord } from '../jobs/jobRecord.js'

/** Expected duration of a checkpoint in scheduling decisions, in milliseconds. */
const EXPECTED_CHECKPOINT_MS = 30_000

/** A job of the planner session. `gang` is the state of its gang's state machine; each event replaces it by a new state. */
export interface RegisteredJob {
  readonly jobId: string
  record: JobRecord
  gang: Gang
  /** Last report on each task of the gang's current incarnation, by task index. */
  readonly progress: Map<number, TaskReportMessage>
  /** True if the client has requested the cancellation of the job. */
  isCancelled: boolean
  /** Why the job would not fit on the known hosts even if all of them were idle; undefined if it would fit. */
  neverFitsMessage: string | undefined
}

export class JobRegistry {
  private readonly _jobs = new Map<string, RegisteredJob>()
  private readonly _cancelledIds = new Set<string>()
  private readonly _epoch: number
  private readonly _times: GangTimes

  constructor (epoch: number, times: GangTimes) {
    this._epoch = epoch
    this._times = times
  }

  /** Number of jobs that have not ended. */
  get size (): number {
    return this._jobs.size
  }

  get (jobId: string): RegisteredJob | undefined {
    return this._jobs.get(jobId)
  }

  list (): RegisteredJob[] {
    return [...this._jobs.values()]
  }

  /** Registers a job read from the store. Returns undefined if it is registered already or has ended. */
  register (record: JobRecord, revision: number, now: number): RegisteredJob | undefined {
    const jobId = record.spec.id
    if (this._jobs.has(jobId) || hasEnded(record)) return undefined
    const { gang } = restoreGang(record.spec, record.gang, revision, this._epoch, this._times, now)
    const job: RegisteredJob = { jobId, record, gang, progress: new Map(), isCancelled: this._cancelledIds.has(jobId), neverFitsMessage: undefined }
    this._jobs.set(jobId, job)
    return job
  }

  /** Records that the client cancelled a job. Returns undefined if the job is not registered yet; it is marked as cancelled once it is registered. */
  cancel (jobId: string): RegisteredJob | undefined {
    const job = this._jobs.get(jobId)
    if (job === undefined) this._cancelledIds.add(jobId)
    else job.isCancelled = true
    return job
  }

  /** Removes a job that has ended. */
  remove (jobId: string): void {
    this._jobs.delete(jobId)
    this._cancelledIds.delete(jobId)
  }

  /** Lists the jobs that are waiting for a placement. */
  listWaiting (): WaitingJob[] {
    return this.list().filter(job => job.gang.stage === 'queued' && job.gang.pending === undefined).map(makeWaitingJob)
  }

  /** Lists the jobs that have a placement. */
  listRunning (): RunningJob[] {
    return this.list().filter(job => job.gang.placement.length > 0 && job.gang.stage !== 'ended').map(makeRunningJob)
  }
}

function makeWaitingJob (job: RegisteredJob): WaitingJob {
  return { spec: job.record.spec, submittedAt: job.record.submittedAt, doneMs: job.record.doneMs }
}

function makeRunningJob (job: RegisteredJob): RunningJob {
  const startedAt = job.record.startedAt ?? Date.now()
  const isStopping = job.gang.stage === 'checkpointing' || job.gang.stage === 'stopping' || job.gang.stage === 'recording'
  return {
    ...makeWaitingJob(job),
    placement: job.gang.placement,
    startedAt,
    savedAt: startedAt,
    checkpointMs: EXPECTED_CHECKPOINT_MS,
    isStopping,
    coveredBy: job.gang.coveredBy
  }
}
