/**
 * Finds a place for a gang that leaves whole workers, racks and failure domains whole where it can.
 */
import type { CapacityTable, FleetModel, GangNeed, WorkerGroup } from './fleetModel.js'
import { GangAdjacency } from './jobTypes.js'

/** What a search looks at. */
export interface PlacementQuery extends GangNeed {
  readonly adjacency: GangAdjacency
  /** Amounts to place within: what is free, or what could be freed. */
  readonly capacity: CapacityTable
  /** Workers that may be used; all when not given. */
  readonly isAllowed?: (worker: number) => boolean
}

interface Room {
  readonly worker: number
  readonly fits: number
  /** Accelerators that stay open once the task or the gang is there; the search keeps this low. */
  readonly open: number
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
  const rooms = listRooms(group, query)
  return sumFits(rooms) < query.tasks ? undefined : placeInRooms(fleet, rooms, query.tasks)
}

function findOnWorker (fleet: FleetModel, query: PlacementQuery, workers?: readonly number[]): number[] | undefined {
  let best = -1
  let bestScore = Infinity
  const rackOpen = workers === undefined ? sumOpenByRack(fleet, query.capacity) : undefined
  const count = workers?.length ?? fleet.workers.length
  for (let index = 0; index < count; index++) {
    const worker = workers === undefined ? index : workers[index] ?? 0
    if (query.isAllowed?.(worker) === false) continue
    if (query.capacity.countFits(worker, query.shape) < query.tasks) continue
    const score = scoreWorker(fleet, query.capacity, rackOpen, worker)
    if (score >= bestScore) continue
    best = worker
    bestScore = score
  }
  return best < 0 ? undefined : Array.from({ length: query.tasks }, () => best)
}

const RACK_TIE_BREAK = 1e-3

/** Fewest open accelerators on the worker first, then in its rack. */
function scoreWorker (fleet: FleetModel, capacity: CapacityTable, rackOpen: Float64Array | undefined, worker: number): number {
  return (capacity.accelerators[worker] ?? 0) + RACK_TIE_BREAK * (rackOpen?.[fleet.rackOf[worker] ?? 0] ?? 0)
}

function sumOpenByRack (fleet: FleetModel, capacity: CapacityTable): Float64Array {
  const open = new Float64Array(fleet.racks.length)
  for (let worker = 0; worker < fleet.workers.length; worker++) {
    const rack = fleet.rackOf[worker] ?? 0
    open[rack] = (open[rack] ?? 0) + Math.max(0, capacity.accelerators[worker] ?? 0)
  }
  return open
}

function findInGroups (fleet: FleetModel, query: PlacementQuery): number[] | undefined {
  let best: Room[] | undefined
  let bestOpen = Infinity
  for (const group of listGroups(fleet, query.adjacency)) {
    const rooms = listRooms(group, query)
    if (sumFits(rooms) < query.tasks) continue
    const open = rooms.reduce((sum, room) => sum + room.open, 0)
    if (open >= bestOpen) continue
    best = rooms
    bestOpen = open
  }
  return best === undefined ? undefined : placeInRooms(fleet, best, query.tasks)
}

function listRooms (group: WorkerGroup, query: PlacementQuery): Room[] {
  const rooms: Room[] = []
  for (const worker of group.workers) {
    if (query.isAllowed?.(worker) === false) continue
    const fits = Math.min(query.tasks, query.capacity.countFits(worker, query.shape))
    if (fits > 0) rooms.push({ worker, fits, open: Math.max(0, query.capacity.accelerators[worker] ?? 0) })
  }
  return rooms
}

function sumFits (rooms: readonly Room[]): number {
  return rooms.reduce((sum, room) => sum + room.fits, 0)
}

/** Takes whole racks while they are needed whole, then the tightest rack that holds the rest, its fullest workers first. */
function placeInRooms (fleet: FleetModel, rooms: readonly Room[], tasks: number): number[] {
  const racks = collectRacks(fleet, rooms)
  const places: number[] = []
  while (places.length < tasks) {
    const rack = takeRack(racks, tasks - places.length)
    if (rack === undefined) throw new Error('invariant: a group with enough room ran out of it')
    placeInRack(rack, tasks - places.length, places)
  }
  return places
}

function collectRacks (fleet: FleetModel, rooms: readonly Room[]): Room[][] {
  const racks = new Map<number, Room[]>()
  for (const room of rooms) {
    const rack = fleet.rackOf[room.worker] ?? 0
    const known = racks.get(rack)
    if (known === undefined) racks.set(rack, [room])
    else known.push(room)
  }
  return [...racks.values()].sort((a, b) => sumFits(a) - sumFits(b))
}

/** Removes and returns the smallest rack that holds all, else the largest one. */
function takeRack (racks: Room[][], tasks: number): Room[] | undefined {
  const index = racks.findIndex(rack => sumFits(rack) >= tasks)
  return racks.splice(index < 0 ? racks.length - 1 : index, 1)[0]
}

function placeInRack (rack: readonly Room[], tasks: number, places: number[]): void {
  const left = [...rack].sort((a, b) => a.fits - b.fits || a.open - b.open)
  let missing = Math.min(tasks, sumFits(left))
  while (missing > 0) {
    const index = left.findIndex(room => room.fits >= missing)
    const room = left.splice(index < 0 ? left.length - 1 : index, 1)[0]
    if (room === undefined) return
    const count = Math.min(missing, room.fits)
    for (let task = 0; task < count; task++) places.push(room.worker)
    missing -= count
  }
}
