/**
 * How much of the fleet one entry fills.
 */
import type { QueueCapacity } from './requestPolicy.js'

/** Requests an entry sends to an agent beyond its slots, so that a slot does not idle for a round trip. */
const AHEAD_PER_AGENT = 1
/** Factor that lets an entry with more than its part of the callers fill what the others leave. */
const SHARE_FACTOR = 2

/** Slots of one agent that may get work. */
export interface CountedAgent {
  readonly slots: number
}

/** Returns the capacity for the queue of one of `entries` entries in front of `agents`. */
export function computeEntryCapacity (agents: readonly CountedAgent[], entries: number): QueueCapacity {
  const fleetSlots = agents.reduce((sum, agent) => sum + agent.slots, 0)
  const window = fleetSlots + agents.length * AHEAD_PER_AGENT
  const share = entries <= 1 ? 1 : Math.min(1, SHARE_FACTOR / entries)
  return { slots: Math.ceil(window * share), fleetSlots: Math.max(1, fleetSlots) }
}
