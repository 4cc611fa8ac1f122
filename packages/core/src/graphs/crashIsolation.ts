/**
 * Chooses where tasks that are suspected of crashing workers may start, and keeps other tasks away from those that must run alone. See `crashBlame.ts` for
 * who is suspected.
 */
import { isCrashSuspect, isGangMember, isIsolated } from './crashBlame.js'
import { EmptyWorker } from './emptyWorker.js'
import type { JobState, RunState, StepState, TaskState } from './jobState.js'
import type { WaitingStep } from './waitingStep.js'
import type { WorkerHealthTracker } from './workerHealthTracker.js'
import { countFits } from './workerState.js'
import type { WorkerState } from './workerState.js'

/** Dependencies of {@link CrashIsolation}. */
export interface CrashIsolationDependencies {
  readonly workerHealth: WorkerHealthTracker
  /** True when a worker may run each waiting task of a step, regardless of its free capacity. */
  readonly isEligible: (worker: WorkerState, step: StepState) => boolean
  /** Predicts when a run ends, on the planner's clock; Infinity when that is unknown. */
  readonly predictEnd: (run: RunState) => number
  /** True when a step waits although most of its service is free. */
  readonly isStarved: (step: StepState) => boolean
}

export class CrashIsolation {
  private readonly _dependencies: CrashIsolationDependencies
  private readonly _emptyWorker: EmptyWorker
  private _guaranteed: ReadonlySet<JobState> = new Set()
  /** Workers with a run of a suspected task; of several tasks, one that must run alone. */
  private readonly _suspects = new Map<WorkerState, TaskState>()
  private _now = 0

  constructor (dependencies: CrashIsolationDependencies) {
    this._dependencies = dependencies
    this._emptyWorker = new EmptyWorker({ isUsable: (worker, step) => this._isUsableAlone(worker, step), predictEnd: dependencies.predictEnd })
  }

  /** Begins a scheduler pass; `guaranteed` are the jobs that a guarantee covers. */
  beginPass (waiting: readonly WaitingStep[], workers: readonly WorkerState[], guaranteed: ReadonlySet<JobState>, now: number): void {
    this._now = now
    this._guaranteed = guaranteed
    this._suspects.clear()
    for (const worker of workers) for (const run of worker.runs) this.recordPlaced(worker, run.task)
    this._emptyWorker.beginPass(waiting, workers, now)
  }

  /** Records that a task has been placed at a worker in this pass. */
  recordPlaced (worker: WorkerState, task: TaskState): void {
    if (!isCrashSuspect(task)) return
    const known = this._suspects.get(worker)
    if (known === undefined || !isIsolated(known)) this._suspects.set(worker, task)
  }

  /** True when a worker is kept empty for a task that must run alone. */
  isKeptEmpty (worker: WorkerState): boolean {
    return this._emptyWorker.isKept(worker)
  }

  /** True when a worker runs a task that must run alone, or is kept empty for one, so that no other step may start there. */
  isReserved (worker: WorkerState, step: StepState): boolean {
    // Work that a guarantee covers has to start in time, whatever else waits, and so has starved work.
    const canWait = !this._guaranteed.has(step.job) && !this._dependencies.isStarved(step)
    if (canWait && this._emptyWorker.isKeptForOther(worker, step)) return true
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
    const steady = empty.filter(worker => !this._isUnsteady(worker))
    if (steady.length > 0 || !isStarved) return steady
    return empty.length > 0 ? empty : apart
  }

  private _isUsableAlone (worker: WorkerState, step: StepState): boolean {
    const { dataRack } = step.spec
    if (dataRack !== undefined && dataRack !== worker.report?.rack) return false
    if (this._isUnsteady(worker) || !this._dependencies.isEligible(worker, step)) return false
    return countFits(worker.capacity, step.spec) > 0 && [...worker.runs].every(run => !isCrashSuspect(run.task))
  }

  private _isUnsteady (worker: WorkerState): boolean {
    return this._dependencies.workerHealth.isUnsteady(worker.key.address, this._now)
  }
}
