/**
 * Reservations of workers for large gangs. The reserved workers drain until the gang fits; until then they run only jobs that will end
 * before the expected start of the gang.
 */
import { CapacityTable } from './fleetModel.js'
import type { FleetModel, WorkerGroup } from './fleetModel.js'
import { GangAdjacency } from './jobTypes.js'
import type { JobSpec, RunningJob } from './jobTypes.js'
import { findPlacementInGroup, listPlacementGroups } from './placementSearch.js'

/** Workers that drain for a waiting gang. */
export interface Reservation {
  readonly jobId: string
  readonly workers: readonly string[]
  readonly expectedStartAt: number
}

/** A running gang with the time at which it is expected to end. */
export interface ExpectedEnd {
  readonly job: RunningJob
  readonly places: readonly number[]
  readonly endAt: number
}

/** Returns the workers on which a gang is expected to fit first, and from when on; undefined when the gang fits nowhere. */
export function findEarliestStart (fleet: FleetModel, spec: JobSpec, ends: readonly ExpectedEnd[], isAllowed: (worker: number) => boolean, now: number): { places: number[], startAt: number } | undefined {
  let best: { places: number[], startAt: number } | undefined
  for (const group of listSearchGroups(fleet, spec)) {
    const found = findEarliestStartInGroup(fleet, spec, group, ends, isAllowed, now)
    if (found !== undefined && (best === undefined || found.startAt < best.startAt)) best = found
  }
  return best
}

/** Returns the groups to search. For a gang that must fit on one worker these are whole racks, so that there are fewer groups. */
function listSearchGroups (fleet: FleetModel, spec: JobSpec): readonly WorkerGroup[] {
  return listPlacementGroups(fleet, spec.adjacency === GangAdjacency.worker ? GangAdjacency.rack : spec.adjacency)
}

function findEarliestStartInGroup (fleet: FleetModel, spec: JobSpec, group: WorkerGroup, ends: readonly ExpectedEnd[], isAllowed: (worker: number) => boolean, now: number): { places: number[], startAt: number } | undefined {
  const members = new Set(group.workers.filter(isAllowed))
  const capacity = copyFreeCapacityOfGroup(fleet, group)
  let fits = 0
  for (const worker of members) fits += capacity.countFits(worker, spec.shape)
  let startAt = now
  const tryPlace = (): number[] | undefined => fits < spec.tasks
    ? undefined
    : findPlacementInGroup(fleet, group, { ...spec, capacity, isAllowed: worker => members.has(worker) })
  let places = tryPlace()
  if (places !== undefined) return { places, startAt }
  for (const end of ends) {
    let isChanged = false
    for (const worker of end.places) {
      if (!members.has(worker)) continue
      const before = capacity.countFits(worker, spec.shape)
      capacity.add(worker, end.job.spec.shape, 1)
      fits += capacity.countFits(worker, spec.shape) - before
      isChanged = true
    }
    if (!isChanged) continue
    startAt = Math.max(now, end.endAt)
    places = tryPlace()
    if (places !== undefined) return { places, startAt }
  }
  return undefined
}

function copyFreeCapacityOfGroup (fleet: FleetModel, group: WorkerGroup): CapacityTable {
  const copy = new CapacityTable(fleet.workers.length)
  for (const worker of group.workers) {
    copy.accelerators[worker] = fleet.free.accelerators[worker] ?? 0
    copy.cores[worker] = fleet.free.cores[worker] ?? 0
    copy.memoryGb[worker] = fleet.free.memoryGb[worker] ?? 0
  }
  return copy
}
