/**
 * Capacity of a fleet in accelerators, cores and memory, with its racks and failure domains. A worker's number is its index in the fleet.
 */
import type { Resources, WorkerDescription } from './jobTypes.js'
import { WorkerState } from './jobTypes.js'

/** Workers of one rack or failure domain, by number. */
export interface WorkerGroup {
  readonly id: string
  readonly workers: readonly number[]
}

/** Number and shape of a gang's tasks, independent of the job. */
export interface GangDemand {
  readonly tasks: number
  readonly shape: Resources
}

/** Resource amounts per worker; a task takes and releases all three dimensions at once. */
export class CapacityTable {
  readonly accelerators: Float64Array
  readonly cores: Float64Array
  readonly memoryGb: Float64Array

  constructor (size: number) {
    this.accelerators = new Float64Array(size)
    this.cores = new Float64Array(size)
    this.memoryGb = new Float64Array(size)
  }

  /** Adds amounts, multiplied by a factor, to the amounts of a worker; a negative factor subtracts them. */
  add (worker: number, amounts: Resources, factor: number): void {
    this.accelerators[worker] = (this.accelerators[worker] ?? 0) + amounts.accelerators * factor
    this.cores[worker] = (this.cores[worker] ?? 0) + amounts.cores * factor
    this.memoryGb[worker] = (this.memoryGb[worker] ?? 0) + amounts.memoryGb * factor
  }

  /** Returns how many tasks of a shape fit in the amounts of a worker. */
  countFits (worker: number, shape: Resources): number {
    return Math.max(0, Math.min(
      countParts(this.accelerators[worker] ?? 0, shape.accelerators),
      countParts(this.cores[worker] ?? 0, shape.cores),
      countParts(this.memoryGb[worker] ?? 0, shape.memoryGb)
    ))
  }
}

function countParts (amount: number, part: number): number {
  return part <= 0 ? Infinity : Math.floor(amount / part)
}

export class FleetModel {
  readonly workers: readonly WorkerDescription[]
  readonly racks: readonly WorkerGroup[]
  readonly failureDomains: readonly WorkerGroup[]
  /** Number of a worker's rack, by the worker's number. */
  readonly rackOf: Int32Array
  /** Number of a worker's failure domain, by the worker's number. */
  readonly failureDomainOf: Int32Array
  /** Free resources of each ready worker, zero for the others. May fall below zero while a reclaim is in progress. */
  readonly free: CapacityTable
  private readonly _indexes = new Map<string, number>()

  constructor (workers: readonly WorkerDescription[]) {
    this.workers = workers
    this.free = new CapacityTable(workers.length)
    this.rackOf = new Int32Array(workers.length)
    this.failureDomainOf = new Int32Array(workers.length)
    workers.forEach((worker, index) => {
      this._indexes.set(worker.id, index)
      if (worker.state === WorkerState.ready) this.free.add(index, worker, 1)
    })
    this.racks = collectGroups(workers, worker => `${worker.failureDomain}/${worker.rack}`, this.rackOf)
    this.failureDomains = collectGroups(workers, worker => worker.failureDomain, this.failureDomainOf)
  }

  /** Returns the number of a worker, or undefined if the worker is not in the fleet. */
  getIndex (workerId: string): number | undefined {
    return this._indexes.get(workerId)
  }

  /** Returns whether a worker may be given tasks. */
  isReady (worker: number): boolean {
    return this.workers[worker]?.state === WorkerState.ready
  }

  /** Returns the numbers of the workers of a placement; workers that are not in the fleet are left out. */
  listWorkerIndexes (placement: readonly string[]): number[] {
    return placement.map(id => this._indexes.get(id)).filter(index => index !== undefined)
  }

  /** Subtracts the resources of a gang's tasks from the free resources of their workers. */
  takeResources (places: readonly number[], shape: Resources): void {
    for (const worker of places) this.free.add(worker, shape, -1)
  }

  /** Adds the resources of a gang's tasks back to the free resources of their workers. */
  returnResources (places: readonly number[], shape: Resources): void {
    for (const worker of places) this.free.add(worker, shape, 1)
  }
}

function collectGroups (workers: readonly WorkerDescription[], getId: (worker: WorkerDescription) => string, groupOf: Int32Array): WorkerGroup[] {
  const groups = new Map<string, { id: string, index: number, workers: number[] }>()
  workers.forEach((worker, index) => {
    const id = getId(worker)
    const group = groups.get(id) ?? { id, index: groups.size, workers: [] }
    groups.set(id, group)
    group.workers.push(index)
    groupOf[index] = group.index
  })
  return [...groups.values()]
}
