/**
 * Packs guaranteed shapes into the cells that are free or could be freed, each cell at most once.
 * A shape larger than a worker takes whole workers and one part of a worker.
 */
import type { CapacityTable, FleetModel, WorkerGroup } from './fleetModel.js'
import { GangAdjacency } from './jobTypes.js'
import type { Guarantee } from './jobTypes.js'
import type { ShapeInstance } from './guaranteeLedger.js'

const ROUNDING = 1e-9

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
        Math.floor((freeable.cores[worker] ?? 0) / perCore + ROUNDING),
        Math.floor((freeable.memoryGb[worker] ?? 0) / perMemory + ROUNDING)
      )
      this._cells[worker] = facts.accelerators > 0 ? Math.max(0, cells) : 0
    })
  }

  /** Takes the unused rest of a shape where its used part is; returns the cells that lack. */
  takeBound (instance: ShapeInstance): number {
    let rest = instance.guarantee.accelerators
    for (const cells of instance.used.values()) rest -= cells
    if (rest <= 0) return 0
    for (const [worker, used] of instance.used) {
      const size = Math.min(rest, (this._fleet.workers[worker]?.accelerators ?? 0) - used)
      rest -= this._take(worker, Math.max(0, size))
    }
    const anchor = instance.used.keys().next().value ?? 0
    if (rest <= 0 || instance.guarantee.adjacency === GangAdjacency.worker) return Math.max(0, rest)
    const group = instance.guarantee.adjacency === GangAdjacency.rack
      ? this._fleet.racks[this._fleet.rackOf[anchor] ?? 0]
      : this._fleet.failureDomains[this._fleet.failureDomainOf[anchor] ?? 0]
    return group === undefined ? rest : this._takeInGroup(group, rest)
  }

  /** Takes a whole shape from its tightest place; returns the cells that lack. */
  takeAnywhere (guarantee: Guarantee): number {
    const { accelerators, adjacency } = guarantee
    if (adjacency === GangAdjacency.worker) {
      const worker = this._findWorker(accelerators)
      return accelerators - (worker === undefined ? 0 : this._take(worker, accelerators))
    }
    const groups = adjacency === GangAdjacency.rack ? this._fleet.racks : this._fleet.failureDomains
    const group = this._findGroup(groups, accelerators)
    return group === undefined ? accelerators : this._takeInGroup(group, accelerators)
  }

  private _take (worker: number, cells: number): number {
    const taken = Math.min(cells, this._cells[worker] ?? 0)
    this._cells[worker] = (this._cells[worker] ?? 0) - taken
    return taken
  }

  /** Fewest cells first; among equal ones the first in the order of the fleet, which keeps to few racks. */
  private _findWorker (cells: number, workers?: readonly number[]): number | undefined {
    let best: number | undefined
    let bestCells = Infinity
    const count = workers?.length ?? this._cells.length
    for (let index = 0; index < count; index++) {
      const worker = workers === undefined ? index : workers[index] ?? 0
      const open = this._cells[worker] ?? 0
      if (open < cells || open >= bestCells) continue
      best = worker
      bestCells = open
      if (open === cells) break
    }
    return best
  }

  private _findGroup (groups: readonly WorkerGroup[], cells: number): WorkerGroup | undefined {
    let best: WorkerGroup | undefined
    let bestCells = Infinity
    for (const group of groups) {
      const open = group.workers.reduce((sum, worker) => sum + (this._cells[worker] ?? 0), 0)
      if (open < cells || open >= bestCells || !this._hasPlace(group, cells)) continue
      best = group
      bestCells = open
    }
    return best
  }

  private _hasPlace (group: WorkerGroup, cells: number): boolean {
    let rest = cells
    let largestOpen = 0
    for (const worker of group.workers) {
      const size = this._fleet.workers[worker]?.accelerators ?? 0
      const open = this._cells[worker] ?? 0
      if (open === size && rest >= size) rest -= size
      else largestOpen = Math.max(largestOpen, open)
    }
    return rest <= largestOpen
  }

  private _takeInGroup (group: WorkerGroup, cells: number): number {
    let rest = cells
    for (const worker of group.workers) {
      const size = this._fleet.workers[worker]?.accelerators ?? 0
      if (rest >= size && this._cells[worker] === size) rest -= this._take(worker, size)
    }
    if (rest <= 0) return 0
    const worker = this._findWorker(rest, group.workers)
    return worker === undefined ? rest : rest - this._take(worker, rest)
  }
}
