/**
 * The jobs of one planner session: each with its durable record and its gang's state machine.
 */
import { restoreGang } from '@dragonflylever/core'
import type { Gang, GangTimes, RunningJob, WaitingJob } from '@dragonflylever/core'
import type { TaskReportMessage } from '@dragonflylever/protocol'

import { hasEnded } from '../jobs/jobRecord.js'
import type { JobRecord } from '../jobs/jobRecord.js'

/** Time that a checkpoint is expected to take, in milliseconds. */
const EXPECTED_CHECKPOINT_MS = 30_000

/** One job; `gang` changes with each event. */
export interface RegisteredJob {
  readonly jobId: string
  record: JobRecord
  gang: Gang
  /** Last word of each task of the present incarnation. */
  readonly progress: Map<number, TaskReportMessage>
  /** True when its caller has asked for the cancellation. */
  isCancelled: boolean
  /** Why no host that is known could ever hold the job; undefined while one could. */
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

  /** Takes up a job from the store; one that is known or has ended is left alone. Returns the new job. */
  register (record: JobRecord, revision: number, now: number): RegisteredJob | undefined {
    const jobId = record.spec.id
    if (this._jobs.has(jobId) || hasEnded(record)) return undefined
    const { gang } = restoreGang(record.spec, record.gang, revision, this._epoch, this._times, now)
    const job: RegisteredJob = { jobId, record, gang, progress: new Map(), isCancelled: this._cancelledIds.has(jobId), neverFitsMessage: undefined }
    this._jobs.set(jobId, job)
    return job
  }

  /** Notes that a job's caller asked for its cancellation; returns the job when it is known. */
  cancel (jobId: string): RegisteredJob | undefined {
    const job = this._jobs.get(jobId)
    if (job === undefined) this._cancelledIds.add(jobId)
    else job.isCancelled = true
    return job
  }

  /** Forgets a job that has ended. */
  remove (jobId: string): void {
    this._jobs.delete(jobId)
    this._cancelledIds.delete(jobId)
  }

  /** Lists the jobs that wait for a place. */
  listWaiting (): WaitingJob[] {
    return this.list().filter(job => job.gang.stage === 'queued' && job.gang.pending === undefined).map(describeWaiting)
  }

  /** Lists the jobs that hold a place. */
  listRunning (): RunningJob[] {
    return this.list().filter(job => job.gang.placement.length > 0 && job.gang.stage !== 'ended').map(describeRunning)
  }
}

function describeWaiting (job: RegisteredJob): WaitingJob {
  return { spec: job.record.spec, submittedAt: job.record.submittedAt, doneMs: job.record.doneMs }
}

function describeRunning (job: RegisteredJob): RunningJob {
  const startedAt = job.record.startedAt ?? Date.now()
  const isStopping = job.gang.stage === 'checkpointing' || job.gang.stage === 'stopping' || job.gang.stage === 'recording'
  return {
    ...describeWaiting(job),
    placement: job.gang.placement,
    startedAt,
    savedAt: startedAt,
    checkpointMs: EXPECTED_CHECKPOINT_MS,
    isLeaving: isStopping,
    coveredBy: job.gang.coveredBy
  }
}
