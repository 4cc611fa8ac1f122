/**
 * The state that the components of a process share through its blackboard.
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

export interface FleetState {
  /** Configuration in force in this process; its revision never decreases. */
  configuration: Configuration | undefined
  /** Members by id, including leaving ones; those that have ended or cannot be reached are left out. */
  members: ReadonlyMap<string, MemberView>
  /** Total number of slots in the fleet as last published by the failure domain's registrar; 0 before that. */
  fleetSlots: number
  /** True once this process has started to shut down; it then accepts no new work. */
  isLeaving: boolean
  /** Leaders by role name, from the lists of the failure domains; only entries keep them. */
  duties: ReadonlyMap<string, LeaderView>
  /** State of this process's circuit breaker for the store. */
  storeHealth: StoreHealth
  /** Counts of this process's store calls and watches; undefined when they are not counted. */
  storeUsage: StoreUsage | undefined
}

/** Creates the state with which a process starts: no configuration and no members. */
export function createInitialFleetState (): FleetState {
  return { configuration: undefined, members: new Map(), fleetSlots: 0, isLeaving: false, duties: new Map(), storeHealth: StoreHealth.up, storeUsage: undefined }
}

/** Returns the number of entries among the members in a region. */
export function countEntries (members: ReadonlyMap<string, MemberView>, region: string): number {
  return [...members.values()].filter(({ member }) => member.role === 'entry' && member.region === region).length
}
