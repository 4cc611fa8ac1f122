/**
 * Facts on the blackboard of every process.
 */
import type { Configuration, Member } from '@dragonflylever/protocol'

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
  /** Slots of all agents, as an entry last told; 0 before that. */
  fleetSlots: number
  /** True once this process takes no new work. */
  isLeaving: boolean
}

/** Creates the facts of a process that has just started. */
export function createFleetFacts (): FleetFacts {
  return { configuration: undefined, members: new Map(), fleetSlots: 0, isLeaving: false }
}

/** Sums the slots of the agents that take work. */
export function sumSlots (members: ReadonlyMap<string, MemberView>): number {
  let slots = 0
  for (const { member } of members.values()) if (member.state === 'alive') slots += member.agent?.slots ?? 0
  return slots
}
