/**
 * Facts on the blackboard of every process.
 */
import { StoreHealth } from '@dragonflylever/adapters'
import type { StoreUsage } from '@dragonflylever/adapters'
import type { Configuration, Member } from '@dragonflylever/protocol'

import type { DutyView } from '../duties/dutyHolder.js'

/** A member with when this process last had proof of its life (monotonic clock, milliseconds). */
export interface MemberView {
  readonly member: Member
  readonly lastSeenAt: number
}

export interface FleetFacts {
  /** Configuration in force here; its revision never falls. */
  configuration: Configuration | undefined
  /** Members by id; leaving and dead ones are not in it. */
  members: ReadonlyMap<string, MemberView>
  /** Slots of all agents, as the registrar last told; 0 before that. */
  fleetSlots: number
  /** True once this process takes no new work. */
  isLeaving: boolean
  /** Duties by name as the lists of the failure domains name them; kept by entries. */
  duties: ReadonlyMap<string, DutyView>
  /** Circuit state towards the store, as this process sees it. */
  storeHealth: StoreHealth
  /** Store calls of this process so far; undefined when they are not counted. */
  storeUsage: StoreUsage | undefined
}

/** Creates the facts of a process that has just started. */
export function createFleetFacts (): FleetFacts {
  return { configuration: undefined, members: new Map(), fleetSlots: 0, isLeaving: false, duties: new Map(), storeHealth: StoreHealth.up, storeUsage: undefined }
}

/** Counts the entries of a region. */
export function countEntries (members: ReadonlyMap<string, MemberView>, region: string): number {
  return [...members.values()].filter(({ member }) => member.role === 'entry' && member.region === region).length
}
