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
  /** True once this process takes no new work. */
  isLeaving: boolean
}

/** Creates the facts of a process that has just started. */
export function createFleetFacts (): FleetFacts {
  return { configuration: undefined, members: new Map(), isLeaving: false }
}
