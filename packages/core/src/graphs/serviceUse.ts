/**
 * How much of each service's capacity is in use. Steps that wait although most of their service is free may use slots that others avoid.
 */
import type { TaskNeeds } from './graphTypes.js'
import { returnNeeds, takeNeeds } from './workerState.js'
import type { FreeCapacity, WorkerState } from './workerState.js'

/** Share of a service's capacity in use, from which on the service is not mostly free. */
const MAX_USED_SHARE = 0.5

interface ServiceCapacity {
  /** Capacity of all workers of the service, and what their runs leave of it. */
  readonly total: FreeCapacity
  readonly free: FreeCapacity
}

export class ServiceUse {
  private readonly _services = new Map<string, ServiceCapacity>()

  /** `workers` are those whose capacity counts, of all services. */
  constructor (workers: readonly WorkerState[]) {
    for (const worker of workers) if (worker.report !== undefined) this._addWorker(worker, worker.report.service)
  }

  /**
   * True while less than half of a service's capacity is in use. Accelerators decide where the service has any, since they are the scarce kind; without them, every other kind has
   * to be mostly free. A kind of which nothing is in use is free, also if the workers have none of it.
   */
  isMostlyFree (service: string): boolean {
    const known = this._services.get(service)
    if (known === undefined) return false
    const { total, free } = known
    const kinds: ReadonlyArray<keyof TaskNeeds> = total.accelerators > 0 ? ['accelerators'] : ['cpuMillis', 'memoryMb']
    return kinds.every(kind => total[kind] === free[kind] || total[kind] - free[kind] < total[kind] * MAX_USED_SHARE)
  }

  private _addWorker (worker: WorkerState, service: string): void {
    const known = this._services.get(service) ?? { total: createEmpty(), free: createEmpty() }
    this._services.set(service, known)
    for (const capacity of [known.total, known.free]) returnNeeds(capacity, worker.capacity)
    for (const run of worker.runs) takeNeeds(known.free, run.task.step.spec)
  }
}

function createEmpty (): FreeCapacity {
  return { cpuMillis: 0, memoryMb: 0, accelerators: 0 }
}
