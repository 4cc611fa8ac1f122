/**
 * Finds a placement for a gang that keeps empty workers, racks and failure domains empty where possible.
 */
import type { CapacityTable, FleetModel, GangDemand, WorkerGroup } from './fleetModel.js'
import { GangAdjacency } from './jobTypes.js'

/** Input of a placement search. */
export interface PlacementQuery extends GangDemand {
  readonly adjacency: GangAdjacency
  /** Resources to place the gang in: either the free ones, or those that could be freed. */
  readonly capacity: CapacityTable
  /** Returns whether a worker may be used; when not given, all workers may be. */
  readonly isAllowed?: (worker: number) => boolean
}

interface CandidateWorker {
  readonly worker: number
  readonly fits: number
  /** Number of the worker's accelerators in the capacity of the query; the search prefers workers and groups with few. */
  readonly free: number
}

/** Returns the workers, racks or failure domains as groups of workers; all tasks of a gang must be placed within one group. */
export function listPlacementGroups (fleet: FleetModel, adjacency: GangAdjacency): readonly WorkerGroup[] {
  if (adjacency === GangAdjacency.rack) return fleet.racks
  if (adjacency === GangAdjacency.failureDomain) return fleet.failureDomains
  return fleet.workers.map((worker, index) => ({ id: worker.id, workers: [index] }))
}

/** Returns the worker number of each task, or undefined when the gang fits nowhere. */
export function findPlacement (fleet: FleetModel, query: PlacementQuery): number[] | undefined {
  return query.adjacency === GangAdjacency.worker ? findPlacementOnOneWorker(fleet, query) : findPlacementInAnyGroup(fleet, query)
}

/** Does the same as {@link findPlacement} within one group of workers. */
export function findPlacementInGroup (fleet: FleetModel, group: WorkerGroup, query: PlacementQuery): number[] | undefined {
  if (query.adjacency === GangAdjacency.worker) return findPlacementOnOneWorker(fleet, query, group.workers)
  const candidates = listCandidateWorkers(group, query)
  return sumFittingTasks(candidates) < query.tasks ? undefined : placeTasksOnCandidates(fleet, candidates, query.tasks)
}

function findPlacementOnOneWorker (fleet: FleetModel, query: PlacementQuery, workers?: readonly number[]): number[] | undefined {
  let best = -1
  let bestScore = Infinity
  const freeByRack = workers === undefined ? sumFreeAcceleratorsByRack(fleet, query.capacity) : undefined
  const count = workers?.length ?? fleet.workers.length
  for (let index = 0; index < count; index++) {
    const worker = workers === undefined ? index : workers[index] ?? 0
    if (query.isAllowed?.(worker) === false) continue
    if (query.capacity.countFits(worker, query.shape) < query.tasks) continue
    const score = scoreWorker(fleet, query.capacity, freeByRack, worker)
    if (score >= bestScore) continue
    best = worker
    bestScore = score
  }
  return best < 0 ? undefined : Array.from({ length: query.tasks }, () => best)
}

const RACK_TIE_BREAK = 1e-3

/** Scores a worker by its free accelerators, then by those of its rack; the lowest score is best. */
function scoreWorker (fleet: FleetModel, capacity: CapacityTable, freeByRack: Float64Array | undefined, worker: number): number {
  return (capacity.accelerators[worker] ?? 0) + RACK_TIE_BREAK * (freeByRack?.[fleet.rackOf[worker] ?? 0] ?? 0)
}

function sumFreeAcceleratorsByRack (fleet: FleetModel, capacity: CapacityTable): Float64Array {
  const free = new Float64Array(fleet.racks.length)
  for (let worker = 0; worker < fleet.workers.length; worker++) {
    const rack = fleet.rackOf[worker] ?? 0
    free[rack] = (free[rack] ?? 0) + Math.max(0, capacity.accelerators[worker] ?? 0)
  }
  return free
}

function findPlacementInAnyGroup (fleet: FleetModel, query: PlacementQuery): number[] | undefined {
  let best: CandidateWorker[] | undefined
  let bestFree = Infinity
  for (const group of listPlacementGroups(fleet, query.adjacency)) {
    const candidates = listCandidateWorkers(group, query)
    if (sumFittingTasks(candidates) < query.tasks) continue
    const free = candidates.reduce((sum, room) => sum + room.free, 0)
    if (free >= bestFree) continue
    best = candidates
    bestFree = free
  }
  return best === undefined ? undefined : placeTasksOnCandidates(fleet, best, query.tasks)
}

function listCandidateWorkers (group: WorkerGroup, query: PlacementQuery): CandidateWorker[] {
  const candidates: CandidateWorker[] = []
  for (const worker of group.workers) {
    if (query.isAllowed?.(worker) === false) continue
    const fits = Math.min(query.tasks, query.capacity.countFits(worker, query.shape))
    if (fits > 0) candidates.push({ worker, fits, free: Math.max(0, query.capacity.accelerators[worker] ?? 0) })
  }
  return candidates
}

function sumFittingTasks (candidates: readonly CandidateWorker[]): number {
  return candidates.reduce((sum, room) => sum + room.fits, 0)
}

/**
 * Fills whole racks, the largest first, while no rack fits all remaining tasks; then uses the smallest rack that does. Chooses workers within
 * a rack in the same way; ties go to the fullest worker.
 */
function placeTasksOnCandidates (fleet: FleetModel, candidates: readonly CandidateWorker[], tasks: number): number[] {
  const racks = groupCandidatesByRack(fleet, candidates)
  const places: number[] = []
  while (places.length < tasks) {
    const rack = removeBestFittingRack(racks, tasks - places.length)
    if (rack === undefined) throw new Error('invariant: no rack is left for the remaining tasks of a gang although the candidate workers have enough capacity')
    placeTasksInRack(rack, tasks - places.length, places)
  }
  return places
}

function groupCandidatesByRack (fleet: FleetModel, candidates: readonly CandidateWorker[]): CandidateWorker[][] {
  const racks = new Map<number, CandidateWorker[]>()
  for (const room of candidates) {
    const rack = fleet.rackOf[room.worker] ?? 0
    const known = racks.get(rack)
    if (known === undefined) racks.set(rack, [room])
    else known.push(room)
  }
  return [...racks.values()].sort((a, b) => sumFittingTasks(a) - sumFittingTasks(b))
}

/** Removes and returns the smallest rack that fits all tasks, or the largest rack when none does. */
function removeBestFittingRack (racks: CandidateWorker[][], tasks: number): CandidateWorker[] | undefined {
  const index = racks.findIndex(rack => sumFittingTasks(rack) >= tasks)
  return racks.splice(index < 0 ? racks.length - 1 : index, 1)[0]
}

function placeTasksInRack (rack: readonly CandidateWorker[], tasks: number, places: number[]): void {
  const remaining = [...rack].sort((a, b) => a.fits - b.fits || a.free - b.free)
  let missing = Math.min(tasks, sumFittingTasks(remaining))
  while (missing > 0) {
    const index = remaining.findIndex(room => room.fits >= missing)
    const room = remaining.splice(index < 0 ? remaining.length - 1 : index, 1)[0]
    if (room === undefined) return
    const count = Math.min(missing, room.fits)
    for (let task = 0; task < count; task++) places.push(room.worker)
    missing -= count
  }
}
