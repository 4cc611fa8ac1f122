/**
 * Attributes task failures to faulty workers or to faulty jobs: failures are counted per worker over distinct jobs, and per job
 * over distinct workers.
 */

/** Thresholds and durations for quarantining workers and failing jobs. */
export interface FailureAttributionOptions {
  /** Number of distinct jobs that must fail on a worker, without a success in between, before the worker is quarantined. */
  readonly jobsPerWorker: number
  /** Number of distinct workers on which a job must fail before the planner fails the job for good. */
  readonly workersPerJob: number
  /** Duration of a worker's first quarantine in milliseconds; it doubles with each further quarantine until a gang succeeds on the worker. */
  readonly quarantineMs: number
  readonly maxQuarantineMs: number
  /** Maximum number of jobs whose failures are remembered. */
  readonly maxJobs: number
}

const HOUR_MS = 3_600_000
const DEFAULT_OPTIONS: FailureAttributionOptions = { jobsPerWorker: 2, workersPerJob: 3, quarantineMs: HOUR_MS / 4, maxQuarantineMs: 24 * HOUR_MS, maxJobs: 4_096 }

/** A quarantine of a worker that has started; `until` is its end in milliseconds of the caller's clock. */
export interface QuarantineNotice {
  readonly workerId: string
  readonly until: number
}

interface WorkerFailures {
  readonly jobs: Set<string>
  quarantines: number
  until: number
}

export class FailureAttribution {
  private readonly _options: FailureAttributionOptions
  private readonly _workers = new Map<string, WorkerFailures>()
  private readonly _jobs = new Map<string, Set<string>>()
  private _startedQuarantines: QuarantineNotice[] = []

  constructor (options: Partial<FailureAttributionOptions> = {}) {
    this._options = { ...DEFAULT_OPTIONS, ...options }
  }

  /** Records that a task of a job failed on a worker; returns the end of the quarantine if one starts. */
  recordFailure (jobId: string, workerId: string, now: number): number | undefined {
    const workers = this._jobs.get(jobId) ?? new Set()
    workers.add(workerId)
    this._jobs.delete(jobId)
    this._jobs.set(jobId, workers)
    const oldest = this._jobs.keys().next().value
    if (this._jobs.size > this._options.maxJobs && oldest !== undefined) this._jobs.delete(oldest)
    if (this.isJobFaulty(jobId)) {
      for (const worker of this._workers.values()) worker.jobs.delete(jobId)
      return undefined
    }
    return this._recordWorkerFailure(jobId, workerId, now)
  }

  /** Records that a gang finished, which clears the failures of the job and of the gang's workers. */
  recordSuccess (jobId: string, workerIds: Iterable<string>): void {
    this._jobs.delete(jobId)
    for (const workerId of workerIds) this._workers.delete(workerId)
  }

  /** Returns the quarantines that started since the last call. */
  takeStartedQuarantines (): QuarantineNotice[] {
    const started = this._startedQuarantines
    this._startedQuarantines = []
    return started
  }

  /** Returns whether a worker must not get new tasks. After a quarantine, a single further failure starts the next one. */
  isQuarantined (workerId: string, now: number): boolean {
    return (this._workers.get(workerId)?.until ?? -Infinity) > now
  }

  /** Returns whether a job failed on so many workers that the failures are attributed to the job itself. */
  isJobFaulty (jobId: string): boolean {
    return (this._jobs.get(jobId)?.size ?? 0) >= this._options.workersPerJob
  }

  /** Returns whether a job has failed on a worker. */
  hasFailedOn (jobId: string, workerId: string): boolean {
    return this._jobs.get(jobId)?.has(workerId) === true
  }

  /** Returns whether a job has failed on any worker. */
  hasFailed (jobId: string): boolean {
    return this._jobs.has(jobId)
  }

  private _recordWorkerFailure (jobId: string, workerId: string, now: number): number | undefined {
    const worker = this._workers.get(workerId) ?? { jobs: new Set(), quarantines: 0, until: -Infinity }
    this._workers.set(workerId, worker)
    worker.jobs.add(jobId)
    const isOnProbation = worker.quarantines > 0
    if (worker.until > now || (!isOnProbation && worker.jobs.size < this._options.jobsPerWorker)) return undefined
    const durationMs = Math.min(this._options.maxQuarantineMs, this._options.quarantineMs * 2 ** worker.quarantines)
    worker.quarantines++
    worker.jobs.clear()
    worker.until = now + durationMs
    this._startedQuarantines.push({ workerId, until: worker.until })
    return worker.until
  }
}
