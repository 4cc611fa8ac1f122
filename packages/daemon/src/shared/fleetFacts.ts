/**
 * The facts that every process keeps on its blackboard.
 */
import { StoreHealth } from '@dragonflylever/adapters'
import type { StoreUsage } from '@dragonflylever/adapters'
import type { Configuration, Member } from '@dragonflylever/protocol'

import type { LeaderView } from '../duties/leaderElector.js'

/** A member with the time at which its current record entered this process's view (monotonic clock, milliseconds). */
export interface MemberView {
  readonly member: Member
  readonly lastSeenAt: number
}

export interface FleetFacts {
  /** Configuration in force in this process; its revision never decreases. */
  configuration: Configuration | undefined
  /** Members by id, including leaving ones; those that have ended or cannot be reached are left out. */
  members: ReadonlyMap<string, MemberView>
  /** Slots of all agents as last published by the registrar; 0 before that. */
  fleetSlots: number
  /** True once this process accepts no new work. */
  isLeaving: boolean
  /** Leaders by role name, from the lists of the failure domains; only entries keep them. */
  duties: ReadonlyMap<string, LeaderView>
  /** State of this process's circuit breaker for the store. */
  storeHealth: StoreHealth
  /** Store calls made by this process; undefined when they are not counted. */
  storeUsage: StoreUsage | undefined
}

/** Creates the initial facts of a process. */
export function createFleetFacts (): FleetFacts {
  return { configuration: undefined, members: new Map(), fleetSlots: 0, isLeaving: false, duties: new Map(), storeHealth: StoreHealth.up, storeUsage: undefined }
}

/** Counts the entries of a region. */
export function countEntries (members: ReadonlyMap<string, MemberView>, region: string): number {
  return [...members.values()].filter(({ member }) => member.role === 'entry' && member.region === region).length
}
