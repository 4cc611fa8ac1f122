/**
 * Free capacity of each worker during one scheduler pass, without the slots reserved for steps that wait for capacity.
 */
import type { TaskNeeds } from './graphTypes.js'
import type { StepState } from './jobState.js'
import { countFits, returnNeeds, takeNeeds } from './workerState.js'
import type { FreeCapacity, WorkerState } from './workerState.js'

/** Slots reserved for one step: number of its tasks by worker. */
export type ReservedSlots = ReadonlyMap<WorkerState, number>

export class CapacitySnapshot {
  readonly workers: readonly WorkerState[]
  private _returns = 0
  private _changes = 0
  private readonly _free = new Map<WorkerState, FreeCapacity>()
  private readonly _reserved = new Map<StepState, ReservedSlots>()

  constructor (workers: readonly WorkerState[], getFree = (worker: WorkerState): FreeCapacity => worker.computeFreeCapacity()) {
    this.workers = workers
    for (const worker of workers) this._free.set(worker, getFree(worker))
  }

  /** Number of times that capacity was given back. In between, a step that finds no room keeps finding none. */
  get returns (): number {
    return this._returns
  }

  /** Number of times that capacity was taken or given back. */
  get changes (): number {
    return this._changes
  }

  /** Returns an independent copy with the same free capacity, without the reservations by step. */
  copy (): CapacitySnapshot {
    return new CapacitySnapshot(this.workers, worker => ({ ...this.getFree(worker) }))
  }

  getFree (worker: WorkerState): TaskNeeds {
    return this._free.get(worker) ?? { cpuMillis: 0, memoryMb: 0, accelerators: 0 }
  }

  /** Returns how many tasks of a step fit at a worker. */
  countFits (worker: WorkerState, step: StepState): number {
    return countFits(this.getFree(worker), step.spec)
  }

  /** Subtracts the needs of `count` tasks from the free capacity of a worker. */
  takeCapacity (worker: WorkerState, needs: TaskNeeds & { readonly isFilling?: boolean }, count = 1): void {
    const free = this._free.get(worker)
    this._changes++
    if (free !== undefined) for (let index = 0; index < count; index++) takeNeeds(free, needs)
  }

  /** Adds the needs of `count` tasks back to the free capacity of a worker. */
  returnCapacity (worker: WorkerState, needs: TaskNeeds & { readonly isFilling?: boolean }, count = 1): void {
    const free = this._free.get(worker)
    this._changes++
    this._returns++
    if (free !== undefined) for (let index = 0; index < count; index++) returnNeeds(free, needs)
  }

  /** Reserves slots for a step, so that later steps of the pass don't take them. */
  reserve (step: StepState, slots: ReservedSlots): void {
    this._reserved.set(step, slots)
    for (const [worker, count] of slots) this.takeCapacity(worker, step.spec, count)
  }

  /** Returns the slots reserved for a step to the free capacity. */
  release (step: StepState): void {
    const slots = this._reserved.get(step)
    this._reserved.delete(step)
    if (slots !== undefined) for (const [worker, count] of slots) this.returnCapacity(worker, step.spec, count)
  }
}
