/**
 * The workers of a planner session: those that are present, and those that have disappeared recently and may return.
 */
import type { WorkerDescription } from '@dragonflylever/core'

import type { PlannedWorker } from './plannerSession.js'

/** How long a worker that has disappeared still counts towards the fleet's total capacity, in milliseconds. */
const ABSENT_RETENTION_MS = 24 * 3_600_000

interface AbsentWorker {
  readonly worker: PlannedWorker
  readonly since: number
}

/** The workers that an update removed and those that it added. */
export interface WorkerChange {
  readonly lost: readonly PlannedWorker[]
  readonly joined: readonly PlannedWorker[]
}

export class WorkerCatalogue {
  private _present = new Map<string, PlannedWorker>()
  private readonly _absent = new Map<string, AbsentWorker>()

  /**
   * Replaces the set of present workers. A worker that has restarted (new incarnation) is listed both as lost and as joined. `now` is
   * monotonic, in milliseconds.
   */
  update (workers: readonly PlannedWorker[], now: number): WorkerChange {
    const next = new Map(workers.map(worker => [worker.id, worker]))
    const lost = [...this._present.values()].filter(worker => next.get(worker.id)?.incarnation !== worker.incarnation)
    const joined = workers.filter(worker => this._present.get(worker.id)?.incarnation !== worker.incarnation)
    for (const worker of lost) this._absent.set(worker.id, { worker, since: now })
    for (const worker of workers) this._absent.delete(worker.id)
    for (const [id, { since }] of this._absent) if (now - since > ABSENT_RETENTION_MS) this._absent.delete(id)
    this._present = next
    return { lost, joined }
  }

  /** Returns a worker; undefined if it is not present. */
  get (workerId: string): PlannedWorker | undefined {
    return this._present.get(workerId)
  }

  /** Lists the present workers, and the absent ones with the state `lost`. */
  list (): WorkerDescription[] {
    return [...this._present.values(), ...[...this._absent.values()].map(({ worker }) => ({ ...worker, state: 'lost' as const }))]
  }
}
