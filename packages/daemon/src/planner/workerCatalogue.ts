/**
 * Workers that a planner session knows: the present ones, and those that are away and may come back.
 */
import type { WorkerFacts } from '@dragonflylever/core'

import type { PlannedWorker } from './plannerSession.js'

/** How long a worker that is away still counts for what the fleet can hold, in milliseconds. */
const ABSENT_RETENTION_MS = 24 * 3_600_000

interface AbsentWorker {
  readonly worker: PlannedWorker
  readonly since: number
}

/** What an update changed. */
export interface WorkerChange {
  readonly lost: readonly PlannedWorker[]
  readonly joined: readonly PlannedWorker[]
}

export class WorkerCatalogue {
  private _present = new Map<string, PlannedWorker>()
  private readonly _absent = new Map<string, AbsentWorker>()

  /** Takes over the present workers; a new incarnation is a loss and a join. */
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

  /** Returns a present worker. */
  get (workerId: string): PlannedWorker | undefined {
    return this._present.get(workerId)
  }

  /** Lists all workers; those that are away are marked as lost. */
  list (): WorkerFacts[] {
    return [...this._present.values(), ...[...this._absent.values()].map(({ worker }) => ({ ...worker, state: 'lost' as const }))]
  }
}
