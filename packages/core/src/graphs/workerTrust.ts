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

interface Standing {
  /** Jobs that failed here since the last success. */
  readonly failedJobs: Set<string>
  avoidUntil: number
  avoidMs: number
  /** True from the first avoidance until a run succeeds. */
  isOnProbation: boolean
}

export class WorkerTrust {
  private readonly _standings = new Map<string, Standing>()

  /** Notes a run that ended well. */
  recordDone (run: RunState, now: number): void {
    const standing = this._standings.get(run.worker.id)
    if (standing === undefined) return
    standing.failedJobs.clear()
    if (now < standing.avoidUntil) return
    standing.isOnProbation = false
    standing.avoidMs = FIRST_AVOID_MS
  }

  /** Notes a run that failed. */
  recordFailure (run: RunState, now: number): void {
    const standing = this._getStanding(run.worker.id)
    standing.failedJobs.add(run.task.step.job.graph.id)
    const isProven = standing.failedJobs.size >= FAILURES_TO_AVOID || standing.isOnProbation
    if (isProven) this._avoid(standing, now)
  }

  /** Notes a run that stood still; a sound worker's runs never do. */
  recordStall (run: RunState, now: number): void {
    this._avoid(this._getStanding(run.worker.id), now)
  }

  /** Notes a start that the worker refused because it is not well; it would refuse the next one too. */
  recordRefusal (run: RunState, now: number): void {
    this._avoid(this._getStanding(run.worker.id), now)
  }

  /** True while a worker is to get nothing new. */
  isAvoided (workerId: string, now: number): boolean {
    return now < (this._standings.get(workerId)?.avoidUntil ?? 0)
  }

  /** True while a worker is to get one run at a time. */
  isOnProbation (workerId: string): boolean {
    return this._standings.get(workerId)?.isOnProbation ?? false
  }

  /** Failures of different jobs since the last success. */
  countFailures (workerId: string): number {
    return this._standings.get(workerId)?.failedJobs.size ?? 0
  }

  private _avoid (standing: Standing, now: number): void {
    if (now < standing.avoidUntil) return
    standing.avoidUntil = now + standing.avoidMs
    standing.avoidMs = Math.min(MAX_AVOID_MS, standing.avoidMs * 2)
    standing.isOnProbation = true
  }

  private _getStanding (workerId: string): Standing {
    let standing = this._standings.get(workerId)
    if (standing === undefined) {
      standing = { failedJobs: new Set(), avoidUntil: -Infinity, avoidMs: FIRST_AVOID_MS, isOnProbation: false }
      this._standings.set(workerId, standing)
    }
    return standing
  }
}
