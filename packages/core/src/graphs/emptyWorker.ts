/**
 * Keeps a worker from getting new runs so that a task that must run alone can start there. On a busy fleet no worker is ever empty, since each slot that
 * becomes free is taken at once. One worker at a time is kept, for the first such task in the order, and no longer than it was expected to take to become empty.
 * Gangs are left out, since one worker does not help them.
 */
import { isIsolated } from './crashBlame.js'
import type { RunState, StepState } from './jobState.js'
import type { WaitingStep } from './waitingStep.js'
import type { WorkerState } from './workerState.js'

/** Dependencies of {@link EmptyWorker}. */
export interface EmptyWorkerDependencies {
  /** True when a step may run alone on a worker once it is empty. */
  readonly isUsable: (worker: WorkerState, step: StepState) => boolean
  /** Predicts when a run ends, on the planner's clock; Infinity when that is unknown. */
  readonly predictEnd: (run: RunState) => number
}

export class EmptyWorker {
  private readonly _dependencies: EmptyWorkerDependencies
  private _kept: { readonly step: StepState, readonly worker: WorkerState, readonly emptyAt: number } | undefined

  constructor (dependencies: EmptyWorkerDependencies) {
    this._dependencies = dependencies
  }

  /** Begins a scheduler pass: keeps the worker that was chosen before while its step waits and its runs are not overdue, or else chooses the one that will be empty the soonest. */
  beginPass (waiting: readonly WaitingStep[], workers: readonly WorkerState[], now: number): void {
    const steps = waiting.filter(({ step, tasks }) => !step.spec.isGang && tasks.some(isIsolated)).map(({ step }) => step)
    const kept = this._kept
    this._kept = undefined
    const isOverdue = kept !== undefined && now > kept.emptyAt && kept.worker.runs.size > 0
    if (kept !== undefined && !isOverdue && steps.includes(kept.step) && workers.includes(kept.worker) && this._dependencies.isUsable(kept.worker, kept.step)) this._kept = kept
    else for (const step of steps) if (this._kept === undefined) this._choose(step, workers)
  }

  /** True when a worker is kept for a task of some step. */
  isKept (worker: WorkerState): boolean {
    return this._kept?.worker === worker
  }

  /** True when a worker is kept for a task of another step. */
  isKeptForOther (worker: WorkerState, step: StepState): boolean {
    return this._kept?.worker === worker && this._kept.step !== step
  }

  private _choose (step: StepState, workers: readonly WorkerState[]): void {
    let earliest = Infinity
    for (const worker of workers) {
      if (!this._dependencies.isUsable(worker, step)) continue
      const emptyAt = Math.max(0, ...[...worker.runs].map(run => this._dependencies.predictEnd(run)))
      if (emptyAt >= earliest) continue
      earliest = emptyAt
      this._kept = { step, worker, emptyAt }
    }
  }
}
