/**
 * Tracks which guaranteed shapes are in use, and whether capacity for the unused ones could still be freed by reclaims.
 * A cell is one accelerator with its proportional share of its worker's cores and memory.
 */
import { CapacityTable } from './fleetModel.js'
import type { FleetModel } from './fleetModel.js'
import { GangAdjacency } from './jobTypes.js'
import type { Guarantee, Resources } from './jobTypes.js'
import { CellPacker } from './cellPacker.js'

const ROUNDING_TOLERANCE = 1e-9

/** One guaranteed shape and the part of it that its organisation uses. */
export interface ShapeInstance {
  readonly key: string
  readonly guarantee: Guarantee
  /** Number of cells in use, by worker number. */
  readonly used: Map<number, number>
}

/** Returns the number of cells that a task takes on a worker: the largest of the numbers needed for its accelerators, cores and memory. */
export function computeCellsOfTask (worker: Resources, shape: Resources): number {
  const perCore = worker.cores / worker.accelerators
  const perMemory = worker.memoryGb / worker.accelerators
  return Math.max(shape.accelerators, Math.ceil(shape.cores / perCore), Math.ceil(shape.memoryGb / perMemory))
}

/** Converts a number of cells of a worker to resource amounts. */
export function convertCellsToResources (worker: Resources, cells: number): Resources {
  const share = cells / worker.accelerators
  return { accelerators: cells, cores: worker.cores * share, memoryGb: worker.memoryGb * share }
}

export class GuaranteeTracker {
  /** Resources per worker that no reclaim can free. */
  readonly unreclaimable: CapacityTable
  /** Part of `unreclaimable` that is charged to guaranteed shapes. */
  private readonly _charged: CapacityTable
  private readonly _fleet: FleetModel
  private readonly _instances = new Map<string, ShapeInstance>()
  private readonly _byOrganisation = new Map<string, ShapeInstance[]>()

  constructor (fleet: FleetModel, guarantees: readonly Guarantee[]) {
    this._fleet = fleet
    this.unreclaimable = new CapacityTable(fleet.workers.length)
    this._charged = new CapacityTable(fleet.workers.length)
    guarantees.forEach((guarantee, index) => {
      for (let copy = 0; copy < guarantee.count; copy++) this._addInstance(`${guarantee.organisation}/${index}/${copy}`, guarantee)
    })
    for (const instances of this._byOrganisation.values()) instances.sort((a, b) => a.guarantee.accelerators - b.guarantee.accelerators)
  }

  get instances (): Iterable<ShapeInstance> {
    return this._instances.values()
  }

  /** Returns the guaranteed shapes of an organisation, smallest first. */
  listInstances (organisation: string): readonly ShapeInstance[] {
    return this._byOrganisation.get(organisation) ?? []
  }

  /** Returns whether `keys` is not empty and each key names a shape that is still guaranteed. */
  hasInstances (keys: readonly string[]): boolean {
    return keys.length > 0 && keys.every(key => this._instances.has(key))
  }

  /** Marks a gang's resources as unreclaimable; a factor of -1 undoes this. */
  addUnreclaimable (places: readonly number[], shape: Resources, factor = 1): void {
    for (const worker of places) this.unreclaimable.add(worker, shape, factor)
  }

  /** Charges a gang to guaranteed shapes, with one key for all tasks or one key per task; a factor of -1 undoes this. */
  addCharge (places: readonly number[], shape: Resources, keys: readonly string[], factor = 1): void {
    places.forEach((worker, task) => {
      const facts = this._fleet.workers[worker]
      const instance = this._instances.get(keys.length === 1 ? keys[0] ?? '' : keys[task] ?? '')
      if (facts === undefined || instance === undefined) return
      const cells = computeCellsOfTask(facts, shape)
      this.unreclaimable.add(worker, convertCellsToResources(facts, cells), factor)
      this._charged.add(worker, convertCellsToResources(facts, cells), factor)
      const used = (instance.used.get(worker) ?? 0) + cells * factor
      if (used > 0) instance.used.set(worker, used)
      else instance.used.delete(worker)
    })
  }

  /** Returns the resources per worker that are free or could be freed by reclaims. */
  computeFreeableResources (): CapacityTable {
    const table = new CapacityTable(this._fleet.workers.length)
    this._fleet.workers.forEach((facts, worker) => {
      if (!this._fleet.isReady(worker)) return
      table.add(worker, facts, 1)
      table.accelerators[worker] = (table.accelerators[worker] ?? 0) - (this.unreclaimable.accelerators[worker] ?? 0)
      table.cores[worker] = (table.cores[worker] ?? 0) - (this.unreclaimable.cores[worker] ?? 0)
      table.memoryGb[worker] = (table.memoryGb[worker] ?? 0) - (this.unreclaimable.memoryGb[worker] ?? 0)
    })
    return table
  }

  /** Returns whether the unreclaimable resources of each of the workers fit in its capacity; cells in use are counted whole. */
  isWithinCapacity (places: readonly number[]): boolean {
    return places.every(worker => {
      const facts = this._fleet.workers[worker]
      return facts !== undefined &&
        (this.unreclaimable.accelerators[worker] ?? 0) <= facts.accelerators &&
        (this.unreclaimable.cores[worker] ?? 0) <= facts.cores + ROUNDING_TOLERANCE &&
        (this.unreclaimable.memoryGb[worker] ?? 0) <= facts.memoryGb + ROUNDING_TOLERANCE
    })
  }

  /**
   * Returns the number of guaranteed cells for which no capacity could be freed; zero when all guaranteed shapes could start.
   * Sums the shortfalls of two packings: one that keeps the shapes in use where they are, and one for the time after all of them have
   * been released. The packing is a heuristic and may fail in the second case only.
   */
  computeShortfall (): number {
    const freeable = this.computeFreeableResources()
    const now = this._placeInstances(freeable, instance => instance.used.size > 0)
    this._fleet.workers.forEach((_, worker) => {
      if (!this._fleet.isReady(worker)) return
      const { accelerators, cores, memoryGb } = this._charged
      freeable.add(worker, { accelerators: accelerators[worker] ?? 0, cores: cores[worker] ?? 0, memoryGb: memoryGb[worker] ?? 0 }, 1)
    })
    return now + this._placeInstances(freeable, () => false)
  }

  private _placeInstances (freeable: CapacityTable, isInUse: (instance: ShapeInstance) => boolean): number {
    const packer = new CellPacker(this._fleet, freeable)
    const unused: ShapeInstance[] = []
    let shortfall = 0
    for (const instance of this._instances.values()) {
      if (isInUse(instance)) shortfall += packer.placeUnusedCells(instance)
      else unused.push(instance)
    }
    unused.sort(compareInstances)
    for (const instance of unused) shortfall += packer.placeUnusedShape(instance.guarantee)
    return shortfall
  }

  private _addInstance (key: string, guarantee: Guarantee): void {
    const instance: ShapeInstance = { key, guarantee, used: new Map() }
    this._instances.set(key, instance)
    const known = this._byOrganisation.get(guarantee.organisation)
    if (known === undefined) this._byOrganisation.set(guarantee.organisation, [instance])
    else known.push(instance)
  }
}

/**
 * Orders the shapes that must fit in a failure domain after all others, since any whole workers of the domain suffice for them, and
 * otherwise larger shapes before smaller ones.
 */
function compareInstances (a: ShapeInstance, b: ShapeInstance): number {
  const isDomainWideA = Number(a.guarantee.adjacency === GangAdjacency.failureDomain)
  const isDomainWideB = Number(b.guarantee.adjacency === GangAdjacency.failureDomain)
  return isDomainWideA - isDomainWideB || b.guarantee.accelerators - a.guarantee.accelerators
}

/** Returns the number of cells of a shape that are in use. */
export function countUsedCells (instance: ShapeInstance): number {
  let used = 0
  for (const cells of instance.used.values()) used += cells
  return used
}
