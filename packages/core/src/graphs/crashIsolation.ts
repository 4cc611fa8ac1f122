/**
 * Chooses where tasks that are suspected of crashing workers may start, and keeps other tasks away from those that must run alone. See `crashBlame.ts` for
 * who is suspected.
 */
import { isCrashSuspect, isGangMember, isIsolated } from './crashBlame.js'
import type { StepState, TaskState } from './jobState.js'
import type { WorkerHealthTracker } from './workerHealthTracker.js'
import type { WorkerState } from './workerState.js'

export class CrashIsolation {
  private readonly _workerHealth: WorkerHealthTracker
  /** Workers with a run of a suspected task; of several tasks, one that must run alone. */
  private readonly _suspects = new Map<WorkerState, TaskState>()
  private _now = 0

  constructor (workerHealth: WorkerHealthTracker) {
    this._workerHealth = workerHealth
  }

  /** Begins a scheduler pass. */
  beginPass (workers: readonly WorkerState[], now: number): void {
    this._now = now
    this._suspects.clear()
    for (const worker of workers) for (const run of worker.runs) this.recordPlaced(worker, run.task)
  }

  /** Records that a task has been placed at a worker in this pass. */
  recordPlaced (worker: WorkerState, task: TaskState): void {
    if (!isCrashSuspect(task)) return
    const known = this._suspects.get(worker)
    if (known === undefined || !isIsolated(known)) this._suspects.set(worker, task)
  }

  /** True when a worker runs a task that must run alone, so that no other step may start there. */
  isReserved (worker: WorkerState, step: StepState): boolean {
    const suspect = this._suspects.get(worker)
    return suspect !== undefined && isIsolated(suspect) && !isGangMember(suspect, step)
  }

  /**
   * Returns the workers at which a suspected task may start: never one with a run of another suspect. If the task must run alone, these are
   * the empty ones that were steady lately or, if there are none and its step is starved, the other empty ones, else all.
   */
  chooseWorkers (workers: readonly WorkerState[], task: TaskState, isStarved: boolean): readonly WorkerState[] {
    const apart = workers.filter(worker => [...worker.runs].every(run => !isCrashSuspect(run.task) || isGangMember(run.task, task.step)))
    if (!isIsolated(task)) return apart
    const empty = apart.filter(worker => worker.orphanedRuns.size === 0 && [...worker.runs].every(run => isGangMember(run.task, task.step)))
    const steady = empty.filter(worker => !this._workerHealth.isUnsteady(worker.key.address, this._now))
    if (steady.length > 0 || !isStarved) return steady
    return empty.length > 0 ? empty : apart
  }
}
