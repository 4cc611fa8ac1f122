/**
 * Tells workers that fail everything from jobs that fail everywhere: failures count per worker over distinct jobs,
 * and per job over distinct workers.
 */

/** When blame has consequences. */
export interface FailureAttributionOptions {
  /** Distinct jobs that must fail on a worker, without a success between, to quarantine it. */
  readonly jobsPerWorker: number
  /** Distinct workers on which a job must fail, to fail it for good. */
  readonly workersPerJob: number
  /** First quarantine; doubles with each one until a success. */
  readonly quarantineMs: number
  readonly maxQuarantineMs: number
  /** Most jobs remembered. */
  readonly maxJobs: number
}

const HOUR_MS = 3_600_000
const DEFAULT_OPTIONS: FailureAttributionOptions = { jobsPerWorker: 2, workersPerJob: 3, quarantineMs: HOUR_MS / 4, maxQuarantineMs: 24 * HOUR_MS, maxJobs: 4_096 }

/** A quarantine that began. */
export interface QuarantineNotice {
  readonly workerId: string
  readonly until: number
}

interface WorkerFailures {
  readonly jobs: Set<string>
  quarantines: number
  until: number
}

export class BlameLedger {
  private readonly _options: FailureAttributionOptions
  private readonly _workers = new Map<string, WorkerFailures>()
  private readonly _jobs = new Map<string, Set<string>>()
  private _startedQuarantines: QuarantineNotice[] = []

  constructor (options: Partial<FailureAttributionOptions> = {}) {
    this._options = { ...DEFAULT_OPTIONS, ...options }
  }

  /** Notes that a job's task failed on a worker; returns the end of the quarantine when one begins. */
  recordFailure (jobId: string, workerId: string, now: number): number | undefined {
    const failedOn = this._jobs.get(jobId) ?? new Set()
    failedOn.add(workerId)
    this._jobs.delete(jobId)
    this._jobs.set(jobId, failedOn)
    const oldest = this._jobs.keys().next().value
    if (this._jobs.size > this._options.maxJobs && oldest !== undefined) this._jobs.delete(oldest)
    if (this.isJobFaulty(jobId)) {
      for (const worker of this._workers.values()) worker.jobs.delete(jobId)
      return undefined
    }
    return this._recordWorkerFailure(jobId, workerId, now)
  }

  /** Notes that a gang ran to its end: its workers are well, and so was the job. */
  recordSuccess (jobId: string, workerIds: Iterable<string>): void {
    this._jobs.delete(jobId)
    for (const workerId of workerIds) this._workers.delete(workerId)
  }

  /** Returns the quarantines that began since the last call. */
  takeStartedQuarantines (): QuarantineNotice[] {
    const started = this._startedQuarantines
    this._startedQuarantines = []
    return started
  }

  /** Returns whether a worker is kept from new work. After the quarantine, one more failure renews it. */
  isQuarantined (workerId: string, now: number): boolean {
    return (this._workers.get(workerId)?.until ?? -Infinity) > now
  }

  /** Returns whether a job failed on so many workers that it is itself to blame. */
  isJobFaulty (jobId: string): boolean {
    return (this._jobs.get(jobId)?.size ?? 0) >= this._options.workersPerJob
  }

  /** Returns whether a job already failed on a worker. */
  hasFailedOn (jobId: string, workerId: string): boolean {
    return this._jobs.get(jobId)?.has(workerId) === true
  }

  /** Returns whether a job failed anywhere. */
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
