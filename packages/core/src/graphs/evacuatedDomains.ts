/**
 * The failure domains that operators have evacuated: no task may start at their workers, while the work that runs there goes on.
 */
import type { WorkerState } from './workerState.js'

export class EvacuatedDomains {
  private _names: ReadonlySet<string> = new Set()

  /** Names of the evacuated failure domains. */
  get names (): ReadonlySet<string> {
    return this._names
  }

  replace (names: ReadonlySet<string>): void {
    this._names = new Set(names)
  }

  /** True when no task may start at a worker. */
  hasWorker (worker: WorkerState): boolean {
    return this._names.size > 0 && this._names.has(worker.report?.failureDomain ?? '')
  }

  /** Returns those of the workers at which tasks may start. */
  selectUsable (workers: WorkerState[]): WorkerState[] {
    return this._names.size === 0 ? workers : workers.filter(worker => !this.hasWorker(worker))
  }
}
