/**
 * Tracks the health of workers by the outcome of their runs, for workers that look healthy but fail or stall every run, or that refuse
 * starts. A worker gets no new runs for a time, longer each time, after failures of two different jobs in a row, a stalled run or a
 * start refused as unhealthy. After that it is on probation with one run at a time until a run succeeds or its faults are old. For tasks that last, a run that has been at work for
 * some seconds counts as a success, and its later failure as the task's own.
 */
import type { RunState } from './jobState.js'
import { isSteadyRun } from './steadyRun.js'

/** Number of different jobs that must fail in a row before a worker is avoided; a single failure may be the job's own fault. */
const FAILURES_TO_AVOID = 2
/**
 * Time for which a faulty worker is avoided at first, in milliseconds. It doubles each time the worker is avoided again before a run succeeds.
 * A faulty worker stays faulty for 3 to 12 s in the example deployments.
 */
const FIRST_AVOID_MS = 5_000
/** Longest time for which a worker is avoided at once, in milliseconds. */
const MAX_AVOID_MS = 20_000

/**
 * Time after the last fault of a worker, or the end of its avoidance, after which its faults no longer count, in milliseconds. Work that waits for a success at the worker would else wait without
 * a limit where nothing else starts there. Longer than a faulty worker stays faulty.
 */
const FAULT_MEMORY_MS = 20_000

/** Time for which a worker counts as unsteady after a crash, in milliseconds; workers that go down and up do so every few seconds. */
const UNSTEADY_MS = 10_000

interface WorkerHealth {
  /** Ids of the jobs that failed at the worker since its last successful run. */
  readonly failedJobs: Set<string>
  avoidUntil: number
  avoidMs: number
  /** True from the first time the worker is avoided until a run succeeds. */
  isOnProbation: boolean
  /** When a run last failed or stalled at the worker, or was refused. */
  lastFaultAt: number
}

export class WorkerHealthTracker {
  private readonly _healthByWorker = new Map<string, WorkerHealth>()
  /** When the last crash at an address was noticed. A worker that has crashed may come back under another id. */
  private readonly _crashedAt = new Map<string, number>()

  /** Records that a run succeeded at its worker. */
  recordDone (run: RunState, now: number): void {
    const health = this._healthByWorker.get(run.worker.id)
    if (health !== undefined) this._recordSuccess(health, now)
  }

  /** Records that a run is at work. Counts as a success if the run is steady and has started since the last fault of its worker. */
  recordRunning (run: RunState, now: number): void {
    const health = this._healthByWorker.get(run.worker.id)
    if (health === undefined || !isSteadyRun(run, now) || (run.runningSince ?? 0) <= health.lastFaultAt) return
    this._recordSuccess(health, now)
  }

  /** Records that a run failed at its worker. The failure of a steady run says nothing about the worker. */
  recordFailure (run: RunState, now: number): void {
    if (isSteadyRun(run, now)) return
    const health = this._getHealth(run.worker.id)
    health.lastFaultAt = now
    health.failedJobs.add(run.task.step.job.graph.id)
    const isFaulty = health.failedJobs.size >= FAILURES_TO_AVOID || health.isOnProbation
    if (isFaulty) this._avoidWorker(health, now)
  }

  /** Records that a run stalled; runs of a healthy worker never stall. */
  recordStall (run: RunState, now: number): void {
    this._avoidWorker(this._getHealth(run.worker.id), now)
  }

  /** Records that a worker refused a start because it is unhealthy; the worker would refuse the next start too. */
  recordRefusal (run: RunState, now: number): void {
    this._avoidWorker(this._getHealth(run.worker.id), now)
  }

  /** Records that the worker at an address has crashed, for whatever reason. */
  recordCrash (address: string, now: number): void {
    for (const [other, at] of this._crashedAt) if (now - at > UNSTEADY_MS) this._crashedAt.delete(other)
    this._crashedAt.set(address, now)
  }

  /** True for some time after a crash at an address; another crash there would then prove nothing against the task that started. */
  isUnsteady (address: string, now: number): boolean {
    return now - (this._crashedAt.get(address) ?? -Infinity) <= UNSTEADY_MS
  }

  /** True while a worker should get no new runs. */
  isAvoided (workerId: string, now: number): boolean {
    return now < (this._healthByWorker.get(workerId)?.avoidUntil ?? 0)
  }

  /** True while a worker should get only one run at a time. */
  isOnProbation (workerId: string, now: number): boolean {
    return this._findHealth(workerId, now)?.isOnProbation ?? false
  }

  /** Returns the number of different jobs that failed at a worker since its last success, without faults that are too old to count. */
  countFailures (workerId: string, now: number): number {
    return this._findHealth(workerId, now)?.failedJobs.size ?? 0
  }

  /** Returns the health of a worker without faults that are too old to count. */
  private _findHealth (workerId: string, now: number): WorkerHealth | undefined {
    const health = this._healthByWorker.get(workerId)
    if (health === undefined || now - Math.max(health.lastFaultAt, health.avoidUntil) <= FAULT_MEMORY_MS) return health
    this._healthByWorker.delete(workerId)
    return undefined
  }

  private _recordSuccess (health: WorkerHealth, now: number): void {
    health.failedJobs.clear()
    if (now < health.avoidUntil) return
    health.isOnProbation = false
    health.avoidMs = FIRST_AVOID_MS
  }

  private _avoidWorker (health: WorkerHealth, now: number): void {
    health.lastFaultAt = now
    if (now < health.avoidUntil) return
    health.avoidUntil = now + health.avoidMs
    health.avoidMs = Math.min(MAX_AVOID_MS, health.avoidMs * 2)
    health.isOnProbation = true
  }

  private _getHealth (workerId: string): WorkerHealth {
    let health = this._healthByWorker.get(workerId)
    if (health === undefined) {
      health = { failedJobs: new Set(), avoidUntil: -Infinity, avoidMs: FIRST_AVOID_MS, isOnProbation: false, lastFaultAt: -Infinity }
      this._healthByWorker.set(workerId, health)
    }
    return health
  }
}
