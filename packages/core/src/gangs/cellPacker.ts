/**
 * Packs guaranteed shapes into the cells that are free or could be freed, using each cell at most once. A cell is one accelerator with
 * its proportional share of its worker's cores and memory.
 * A shape larger than a worker takes whole workers and at most one part of a worker.
 */
import type { CapacityTable, FleetModel, WorkerGroup } from './fleetModel.js'
import { GangAdjacency } from './jobTypes.js'
import type { Guarantee } from './jobTypes.js'
import type { ShapeInstance } from './guaranteeTracker.js'

const ROUNDING_TOLERANCE = 1e-9

export class CellPacker {
  private readonly _fleet: FleetModel
  private readonly _cells: Int32Array

  constructor (fleet: FleetModel, freeable: CapacityTable) {
    this._fleet = fleet
    this._cells = new Int32Array(fleet.workers.length)
    fleet.workers.forEach((facts, worker) => {
      const perCore = facts.cores / facts.accelerators
      const perMemory = facts.memoryGb / facts.accelerators
      const cells = Math.min(
        freeable.accelerators[worker] ?? 0,
        Math.floor((freeable.cores[worker] ?? 0) / perCore + ROUNDING_TOLERANCE),
        Math.floor((freeable.memoryGb[worker] ?? 0) / perMemory + ROUNDING_TOLERANCE)
      )
      this._cells[worker] = facts.accelerators > 0 ? Math.max(0, cells) : 0
    })
  }

  /**
   * Places the unused part of a guaranteed shape, first on the workers of the used part, then within their rack or failure domain.
   * Returns the number of cells that could not be placed.
   */
  placeUnusedCells (instance: ShapeInstance): number {
    let remaining = instance.guarantee.accelerators
    for (const cells of instance.used.values()) remaining -= cells
    if (remaining <= 0) return 0
    for (const [worker, used] of instance.used) {
      const size = Math.min(remaining, (this._fleet.workers[worker]?.accelerators ?? 0) - used)
      remaining -= this._takeCells(worker, Math.max(0, size))
    }
    const anchor = instance.used.keys().next().value ?? 0
    if (remaining <= 0 || instance.guarantee.adjacency === GangAdjacency.worker) return Math.max(0, remaining)
    const group = instance.guarantee.adjacency === GangAdjacency.rack
      ? this._fleet.racks[this._fleet.rackOf[anchor] ?? 0]
      : this._fleet.failureDomains[this._fleet.failureDomainOf[anchor] ?? 0]
    return group === undefined ? remaining : this._takeCellsInGroup(group, remaining)
  }

  /**
   * Places a guaranteed shape that is not in use on the worker, rack or failure domain with the fewest available cells that suffice.
   * Returns the number of cells that could not be placed.
   */
  placeUnusedShape (guarantee: Guarantee): number {
    const { accelerators, adjacency } = guarantee
    if (adjacency === GangAdjacency.worker) {
      const worker = this._findBestFitWorker(accelerators)
      return accelerators - (worker === undefined ? 0 : this._takeCells(worker, accelerators))
    }
    const groups = adjacency === GangAdjacency.rack ? this._fleet.racks : this._fleet.failureDomains
    const group = this._findBestFitGroup(groups, accelerators)
    return group === undefined ? accelerators : this._takeCellsInGroup(group, accelerators)
  }

  private _takeCells (worker: number, cells: number): number {
    const taken = Math.min(cells, this._cells[worker] ?? 0)
    this._cells[worker] = (this._cells[worker] ?? 0) - taken
    return taken
  }

  /** Returns the worker with the fewest available cells, but at least `cells`. Ties go to the first in fleet order, so that few racks are used. */
  private _findBestFitWorker (cells: number, workers?: readonly number[]): number | undefined {
    let best: number | undefined
    let bestCells = Infinity
    const count = workers?.length ?? this._cells.length
    for (let index = 0; index < count; index++) {
      const worker = workers === undefined ? index : workers[index] ?? 0
      const available = this._cells[worker] ?? 0
      if (available < cells || available >= bestCells) continue
      best = worker
      bestCells = available
      if (available === cells) break
    }
    return best
  }

  private _findBestFitGroup (groups: readonly WorkerGroup[], cells: number): WorkerGroup | undefined {
    let best: WorkerGroup | undefined
    let bestCells = Infinity
    for (const group of groups) {
      const available = group.workers.reduce((sum, worker) => sum + (this._cells[worker] ?? 0), 0)
      if (available < cells || available >= bestCells || !this._isGroupLargeEnough(group, cells)) continue
      best = group
      bestCells = available
    }
    return best
  }

  private _isGroupLargeEnough (group: WorkerGroup, cells: number): boolean {
    let remaining = cells
    let largestPartial = 0
    for (const worker of group.workers) {
      const size = this._fleet.workers[worker]?.accelerators ?? 0
      const available = this._cells[worker] ?? 0
      if (available === size && remaining >= size) remaining -= size
      else largestPartial = Math.max(largestPartial, available)
    }
    return remaining <= largestPartial
  }

  private _takeCellsInGroup (group: WorkerGroup, cells: number): number {
    let remaining = cells
    for (const worker of group.workers) {
      const size = this._fleet.workers[worker]?.accelerators ?? 0
      if (remaining >= size && this._cells[worker] === size) remaining -= this._takeCells(worker, size)
    }
    if (remaining <= 0) return 0
    const worker = this._findBestFitWorker(remaining, group.workers)
    return worker === undefined ? remaining : remaining - this._takeCells(worker, remaining)
  }
}
