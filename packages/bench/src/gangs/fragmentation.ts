/**
 * Measures fragmentation: the number of free accelerators that no job could use. Workers are grouped by rack, failure domain or singly, as
 * the adjacency of the gang requires. A free accelerator counts as usable if the whole gang of a waiting job fits in its group of workers,
 * or if a guaranteed shape would fit there after the checkpointable jobs that run outside a guarantee are stopped (a reclaim).
 */
import { CapacityTable, convertCellsToResources, FleetModel, listPlacementGroups } from '@dragonflylever/core'
import type { GangAdjacency, PlanSnapshot, Resources } from '@dragonflylever/core'

/** Accelerator counts at one point in time. */
export interface FreeCapacity {
  readonly total: number
  readonly used: number
  /** Number of free accelerators that neither a waiting job nor a guaranteed shape could use, even if running jobs were stopped for the shape. */
  readonly unusable: number
  /** Number of free accelerators that neither a waiting job nor a guaranteed shape could use without stopping a running job. */
  readonly unusableStrict: number
  /** Number of accelerators that are free although jobs that would fit are waiting; at most the number that those jobs need. */
  readonly freeWhileWaiting: number
}

interface GangShape {
  readonly tasks: number
  readonly shape: Resources
  readonly adjacency: GangAdjacency
}

export function sampleFreeCapacity (snapshot: PlanSnapshot): FreeCapacity {
  const fleet = new FleetModel(snapshot.workers)
  const total = sumAccelerators(fleet.free.accelerators)
  const freeable = new CapacityTable(fleet.workers.length)
  for (const job of snapshot.running) fleet.takeResources(fleet.listWorkerIndexes(job.placement), job.spec.shape)
  fleet.workers.forEach((_, worker) => freeable.add(worker, readFreeResources(fleet.free, worker), 1))
  for (const job of snapshot.running) {
    if (!job.spec.isCheckpointable || job.coveredBy.length > 0) continue
    for (const worker of fleet.listWorkerIndexes(job.placement)) freeable.add(worker, job.spec.shape, 1)
  }
  const free = sumAccelerators(fleet.free.accelerators)
  const waiting = collectUniqueShapes(snapshot.waiting.map(({ spec }) => spec).filter(spec => spec.tasks <= fleet.workers.length * 8))
  const guaranteed = collectUniqueShapes(snapshot.guarantees.map(guarantee => makeGuaranteedShape(fleet, guarantee.accelerators, guarantee.adjacency)))
  if (free === 0 || (waiting.length === 0 && guaranteed.length === 0)) return { total, used: total - free, unusable: 0, unusableStrict: 0, freeWhileWaiting: 0 }
  const usable = new Uint8Array(fleet.workers.length)
  const fitting = waiting.filter(shape => markUsableWorkers(fleet, fleet.free, shape, usable))
  const usableStrict = usable.slice()
  for (const shape of guaranteed) markUsableWorkers(fleet, freeable, shape, usable)
  for (const shape of guaranteed) markUsableWorkers(fleet, fleet.free, shape, usableStrict)
  const needed = snapshot.waiting.reduce((need, { spec }) => need + (fitting.some(shape => isSameShape(shape, spec)) ? spec.tasks * spec.shape.accelerators : 0), 0)
  return { total, used: total - free, unusable: sumAcceleratorsOfUnmarkedWorkers(fleet, usable), unusableStrict: sumAcceleratorsOfUnmarkedWorkers(fleet, usableStrict), freeWhileWaiting: Math.min(free, needed) }
}

function makeGuaranteedShape (fleet: FleetModel, accelerators: number, adjacency: GangAdjacency): GangShape {
  const [facts] = fleet.workers
  if (facts === undefined) throw new Error('invariant: the fleet has no workers')
  const size = Math.min(accelerators, facts.accelerators)
  return { tasks: Math.ceil(accelerators / size), shape: convertCellsToResources(facts, size), adjacency }
}

function collectUniqueShapes (shapes: readonly GangShape[]): GangShape[] {
  const unique: GangShape[] = []
  for (const shape of shapes) if (!unique.some(item => isSameShape(item, shape))) unique.push(shape)
  return unique
}

function isSameShape (a: GangShape, b: GangShape): boolean {
  return a.tasks === b.tasks && a.adjacency === b.adjacency && a.shape.accelerators === b.shape.accelerators &&
    a.shape.cores === b.shape.cores && a.shape.memoryGb === b.shape.memoryGb
}

/** Finds the groups of workers in which a whole gang fits, and marks their workers that have room for a task. Returns whether there is such a group. */
function markUsableWorkers (fleet: FleetModel, capacity: CapacityTable, shape: GangShape, usable: Uint8Array): boolean {
  let hasPlace = false
  for (const group of listPlacementGroups(fleet, shape.adjacency)) {
    let fits = 0
    for (const worker of group.workers) fits += capacity.countFits(worker, shape.shape)
    if (fits < shape.tasks) continue
    hasPlace = true
    for (const worker of group.workers) if (capacity.countFits(worker, shape.shape) > 0) usable[worker] = 1
  }
  return hasPlace
}

function sumAcceleratorsOfUnmarkedWorkers (fleet: FleetModel, usable: Uint8Array): number {
  return fleet.free.accelerators.reduce((open, amount, worker) => open + (usable[worker] === 1 ? 0 : Math.max(0, amount)), 0)
}

function sumAccelerators (amounts: Float64Array): number {
  return amounts.reduce((total, amount) => total + Math.max(0, amount), 0)
}

function readFreeResources (table: CapacityTable, worker: number): Resources {
  return { accelerators: table.accelerators[worker] ?? 0, cores: table.cores[worker] ?? 0, memoryGb: table.memoryGb[worker] ?? 0 }
}
