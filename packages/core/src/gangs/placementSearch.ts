/**
 * Finds a place for a gang that leaves whole workers, racks and failure domains whole where it can.
 */
import type { CapacityTable, FleetModel, GangDemand, WorkerGroup } from './fleetModel.js'
import { GangAdjacency } from './jobTypes.js'

/** What a search looks at. */
export interface PlacementQuery extends GangDemand {
  readonly adjacency: GangAdjacency
  /** Amounts to place within: what is free, or what could be freed. */
  readonly capacity: CapacityTable
  /** Workers that may be used; all when not given. */
  readonly isAllowed?: (worker: number) => boolean
}

interface CandidateWorker {
  readonly worker: number
  readonly fits: number
  /** Accelerators that stay open once the task or the gang is there; the search keeps this low. */
  readonly free: number
}

/** Returns the groups within which all tasks of a gang must be. */
export function listGroups (fleet: FleetModel, adjacency: GangAdjacency): readonly WorkerGroup[] {
  if (adjacency === GangAdjacency.rack) return fleet.racks
  if (adjacency === GangAdjacency.failureDomain) return fleet.failureDomains
  return fleet.workers.map((worker, index) => ({ id: worker.id, workers: [index] }))
}

/** Returns a worker number per task, or undefined when the gang has no place. */
export function findPlacement (fleet: FleetModel, query: PlacementQuery): number[] | undefined {
  return query.adjacency === GangAdjacency.worker ? findOnWorker(fleet, query) : findInGroups(fleet, query)
}

/** As `findPlacement`, within one group of workers. */
export function findPlacementIn (fleet: FleetModel, group: WorkerGroup, query: PlacementQuery): number[] | undefined {
  if (query.adjacency === GangAdjacency.worker) return findOnWorker(fleet, query, group.workers)
  const candidates = listCandidates(group, query)
  return sumFits(candidates) < query.tasks ? undefined : placeOnCandidates(fleet, candidates, query.tasks)
}

function findOnWorker (fleet: FleetModel, query: PlacementQuery, workers?: readonly number[]): number[] | undefined {
  let best = -1
  let bestScore = Infinity
  const freeByRack = workers === undefined ? sumFreeByRack(fleet, query.capacity) : undefined
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

/** Fewest open accelerators on the worker first, then in its rack. */
function scoreWorker (fleet: FleetModel, capacity: CapacityTable, freeByRack: Float64Array | undefined, worker: number): number {
  return (capacity.accelerators[worker] ?? 0) + RACK_TIE_BREAK * (freeByRack?.[fleet.rackOf[worker] ?? 0] ?? 0)
}

function sumFreeByRack (fleet: FleetModel, capacity: CapacityTable): Float64Array {
  const free = new Float64Array(fleet.racks.length)
  for (let worker = 0; worker < fleet.workers.length; worker++) {
    const rack = fleet.rackOf[worker] ?? 0
    free[rack] = (free[rack] ?? 0) + Math.max(0, capacity.accelerators[worker] ?? 0)
  }
  return free
}

function findInGroups (fleet: FleetModel, query: PlacementQuery): number[] | undefined {
  let best: CandidateWorker[] | undefined
  let bestFree = Infinity
  for (const group of listGroups(fleet, query.adjacency)) {
    const candidates = listCandidates(group, query)
    if (sumFits(candidates) < query.tasks) continue
    const free = candidates.reduce((sum, candidate) => sum + candidate.free, 0)
    if (free >= bestFree) continue
    best = candidates
    bestFree = free
  }
  return best === undefined ? undefined : placeOnCandidates(fleet, best, query.tasks)
}

function listCandidates (group: WorkerGroup, query: PlacementQuery): CandidateWorker[] {
  const candidates: CandidateWorker[] = []
  for (const worker of group.workers) {
    if (query.isAllowed?.(worker) === false) continue
    const fits = Math.min(query.tasks, query.capacity.countFits(worker, query.shape))
    if (fits > 0) candidates.push({ worker, fits, free: Math.max(0, query.capacity.accelerators[worker] ?? 0) })
  }
  return candidates
}

function sumFits (candidates: readonly CandidateWorker[]): number {
  return candidates.reduce((sum, candidate) => sum + candidate.fits, 0)
}

/** Takes whole racks while they are needed whole, then the tightest rack that holds the rest, its fullest workers first. */
function placeOnCandidates (fleet: FleetModel, candidates: readonly CandidateWorker[], tasks: number): number[] {
  const racks = collectRacks(fleet, candidates)
  const places: number[] = []
  while (places.length < tasks) {
    const rack = takeRack(racks, tasks - places.length)
    if (rack === undefined) throw new Error('invariant: a group with enough room ran out of it')
    placeInRack(rack, tasks - places.length, places)
  }
  return places
}

function collectRacks (fleet: FleetModel, candidates: readonly CandidateWorker[]): CandidateWorker[][] {
  const racks = new Map<number, CandidateWorker[]>()
  for (const candidate of candidates) {
    const rack = fleet.rackOf[candidate.worker] ?? 0
    const rackCandidates = racks.get(rack)
    if (rackCandidates === undefined) racks.set(rack, [candidate])
    else rackCandidates.push(candidate)
  }
  return [...racks.values()].sort((a, b) => sumFits(a) - sumFits(b))
}

/** Removes and returns the smallest rack that holds all, else the largest one. */
function takeRack (racks: CandidateWorker[][], tasks: number): CandidateWorker[] | undefined {
  const index = racks.findIndex(rack => sumFits(rack) >= tasks)
  return racks.splice(index < 0 ? racks.length - 1 : index, 1)[0]
}

function placeInRack (rack: readonly CandidateWorker[], tasks: number, places: number[]): void {
  const remaining = [...rack].sort((a, b) => a.fits - b.fits || a.free - b.free)
  let missing = Math.min(tasks, sumFits(remaining))
  while (missing > 0) {
    const index = remaining.findIndex(candidate => candidate.fits >= missing)
    const candidate = remaining.splice(index < 0 ? remaining.length - 1 : index, 1)[0]
    if (candidate === undefined) return
    const count = Math.min(missing, candidate.fits)
    for (let task = 0; task < count; task++) places.push(candidate.worker)
    missing -= count
  }
}
