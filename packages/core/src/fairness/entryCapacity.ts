/**
 * Computes the share of the fleet's slots that one entry fills.
 */
import type { QueueCapacity } from './requestPolicy.js'

/** Requests that an entry sends to an agent beyond its slots, so that a slot does not idle for a round trip. */
const PREFETCH_PER_AGENT = 1
/** Factor on the equal share, by which an entry with more than its share of the callers fills slots that other entries leave free. */
const OVERCOMMIT_FACTOR = 2

/** Slots of one agent that may receive requests. */
export interface AgentSlots {
  readonly slots: number
}

/** Returns the capacity for the queue of one of `entries` entries in front of `agents`. */
export function computeEntryCapacity (agents: readonly AgentSlots[], entries: number): QueueCapacity {
  const fleetSlots = agents.reduce((sum, agent) => sum + agent.slots, 0)
  const maxInFlight = fleetSlots + agents.length * PREFETCH_PER_AGENT
  const share = entries <= 1 ? 1 : Math.min(1, OVERCOMMIT_FACTOR / entries)
  return { slots: Math.ceil(maxInFlight * share), fleetSlots: Math.max(1, fleetSlots) }
}
