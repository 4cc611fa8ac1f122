/**
 * Creates candidates for the leader election of the planner, on an in-memory store.
 */
import { NoMetrics, createLogger } from '@dragonflylever/runtime'
import type { MemoryPeers, MemoryStore } from '@dragonflylever/standins'

import type { EvacuationSettings } from '../../src/jobPlanner/evacuationWatcher.js'
import { PlannerCandidate } from '../../src/jobPlanner/plannerCandidate.js'
import { KEYS, PREFIX, TIMES, createClient } from '../graphs/graphNode.js'

const DELAY_MS = 50

/** Creates a candidate of the agent with this name and address, with a store client and logger of its own. */
export function createCandidate (memory: MemoryStore, peers: MemoryPeers, name: string, address: string, evacuations?: EvacuationSettings): PlannerCandidate {
  return new PlannerCandidate({
    store: createClient(memory),
    prefix: PREFIX,
    keys: KEYS,
    name,
    address,
    peers: peers.createClient(address),
    logger: createLogger({ level: 'silent', processId: 'test' }),
    metrics: new NoMetrics(),
    times: TIMES,
    evacuations,
    delayMs: DELAY_MS,
    getPolicy: () => undefined,
    onSessionChange: () => {},
    onPlannerChange: () => {}
  })
}
