/**
 * Computes the share of the fleet's slots that one entry fills.
 */
import type { QueueCapacity } from './requestPolicy.js'

/** Number of requests that are sent to an agent beyond its slots, so that a released slot does not idle for a round trip. */
const PREFETCH_PER_AGENT = 1
/** Multiple of its equal share that an entry may use, so that an entry with many callers fills slots that other entries leave free. */
const OVERCOMMIT_FACTOR = 2

/** Number of slots of an agent that may receive requests. */
export interface AgentSlots {
  readonly slots: number
}

/** Returns the capacity for the queue of one entry, when `entries` entries send requests to `agents`. */
export function computeEntryCapacity (agents: readonly AgentSlots[], entries: number): QueueCapacity {
  const fleetSlots = agents.reduce((sum, agent) => sum + agent.slots, 0)
  const maxInFlight = fleetSlots + agents.length * PREFETCH_PER_AGENT
  const share = entries <= 1 ? 1 : Math.min(1, OVERCOMMIT_FACTOR / entries)
  return { slots: Math.ceil(maxInFlight * share), fleetSlots: Math.max(1, fleetSlots) }
}
