/**
 * Judges workers by what their runs did. Answers the load of workers that fail or stall all that they start while they look
 * healthy, or refuse starts: two failures of different jobs in a row, a run that stands still or one such refusal keep new work away,
 * for longer each time; then one run proves the worker.
 */
import type { RunState } from './jobState.js'

/** Failures of different jobs in a row from which on a worker is avoided; one may be the job's own fault. */
const FAILURES_TO_AVOID = 2
/** First time of avoidance and its bound, in milliseconds; a faulty worker stayed so for 3 to 12 s in the users' examples. */
const FIRST_AVOID_MS = 5_000
const MAX_AVOID_MS = 20_000

interface WorkerHealth {
  /** Jobs that failed here since the last success. */
  readonly failedJobs: Set<string>
  avoidUntil: number
  avoidMs: number
  /** True from the first avoidance until a run succeeds. */
  isOnProbation: boolean
}

export class WorkerHealthTracker {
  private readonly _healthByWorker = new Map<string, WorkerHealth>()

  /** Notes a run that ended well. */
  recordDone (run: RunState, now: number): void {
    const health = this._healthByWorker.get(run.worker.id)
    if (health === undefined) return
    health.failedJobs.clear()
    if (now < health.avoidUntil) return
    health.isOnProbation = false
    health.avoidMs = FIRST_AVOID_MS
  }

  /** Notes a run that failed. */
  recordFailure (run: RunState, now: number): void {
    const health = this._getHealth(run.worker.id)
    health.failedJobs.add(run.task.step.job.graph.id)
    const isFaulty = health.failedJobs.size >= FAILURES_TO_AVOID || health.isOnProbation
    if (isFaulty) this._avoid(health, now)
  }

  /** Notes a run that stood still; a sound worker's runs never do. */
  recordStall (run: RunState, now: number): void {
    this._avoid(this._getHealth(run.worker.id), now)
  }

  /** Notes a start that the worker refused because it is not well; it would refuse the next one too. */
  recordRefusal (run: RunState, now: number): void {
    this._avoid(this._getHealth(run.worker.id), now)
  }

  /** True while a worker is to get nothing new. */
  isAvoided (workerId: string, now: number): boolean {
    return now < (this._healthByWorker.get(workerId)?.avoidUntil ?? 0)
  }

  /** True while a worker is to get one run at a time. */
  isOnProbation (workerId: string): boolean {
    return this._healthByWorker.get(workerId)?.isOnProbation ?? false
  }

  /** Failures of different jobs since the last success. */
  countFailures (workerId: string): number {
    return this._healthByWorker.get(workerId)?.failedJobs.size ?? 0
  }

  private _avoid (health: WorkerHealth, now: number): void {
    if (now < health.avoidUntil) return
    health.avoidUntil = now + health.avoidMs
    health.avoidMs = Math.min(MAX_AVOID_MS, health.avoidMs * 2)
    health.isOnProbation = true
  }

  private _getHealth (workerId: string): WorkerHealth {
    let health = this._healthByWorker.get(workerId)
    if (health === undefined) {
      health = { failedJobs: new Set(), avoidUntil: -Infinity, avoidMs: FIRST_AVOID_MS, isOnProbation: false }
      this._healthByWorker.set(workerId, health)
    }
    return health
  }
}
