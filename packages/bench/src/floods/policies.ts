/**
 * Policies that the experiments compare: the fair queue with the fleet router, and the baselines.
 */
import { FairQueue, FifoQueue, FleetRouter, TwoChoicesRouter, computeEntryCapacity } from '@dragonflylever/core'
import type { FairQueueOptions, QueuedRequest, Random, RequestQueue, Router } from '@dragonflylever/core'

import { OrderedQueue } from './orderedQueue.js'
import { RoundRobinRouter } from './roundRobinRouter.js'
import { CONNECTIONS_PER_WORKER, SLOTS_PER_WORKER, createRequestPolicy } from './workload.js'
import type { Deployment } from './workload.js'

const ENTRY_MAX_WAITING = 4_096
/** Bandwidth that the entries share on the link between regions, in bytes per second: half of the 20 Mbit/s of the link. */
const LINK_BYTES_PER_SECOND = 1_250_000

/** Properties of the fleet, and of the region of one process, for which a policy creates a queue or a router. */
export interface PolicyContext {
  readonly deployment: Deployment
  /** Number of workers that are up. */
  readonly workers: number
  /** Number of entries that are up. */
  readonly entries: number
  /** Number of entries that are up in `region`. */
  readonly localEntries: number
  readonly region: string
  readonly random: Random
}

/** Scheduling policy under comparison: creates the queues of entries and agents and the routers of entries. */
export interface Policy {
  readonly name: string
  createEntryQueue (context: PolicyContext): RequestQueue
  createAgentQueue (context: PolicyContext): RequestQueue
  createRouter (context: PolicyContext): Router
}

/** Options of the fair queue that can be varied to measure how the results depend on them. */
export type FairPolicyOptions = Pick<FairQueueOptions, 'reserve' | 'admission'>

/** Creates the policy of the system: fair queues with the fleet router. */
export function createFairPolicy (options: FairPolicyOptions = {}, name = 'fair'): Policy {
  return {
    name,
    createEntryQueue: context => {
      const agents = Array.from({ length: context.workers }, () => ({ slots: SLOTS_PER_WORKER }))
      return new FairQueue({ ...computeEntryCapacity(agents, context.entries), maxWaiting: ENTRY_MAX_WAITING, policy: createRequestPolicy(context.deployment), ...options })
    },
    createAgentQueue: context => new FairQueue({ slots: SLOTS_PER_WORKER, fleetSlots: context.workers * SLOTS_PER_WORKER, maxWaiting: CONNECTIONS_PER_WORKER, policy: createRequestPolicy(context.deployment), ...options }),
    createRouter: ({ region, random, entries, localEntries }) => {
      const router = new FleetRouter({ region, random, linkBytesPerSecond: LINK_BYTES_PER_SECOND / entries })
      router.setRegionLimits(localEntries, LINK_BYTES_PER_SECOND / entries)
      return router
    }
  }
}

function createOrderedPolicy (name: string, getSortKey: (request: QueuedRequest, deployment: Deployment) => number): Policy {
  const createQueue = (deployment: Deployment, maxWaiting: number, slots: number): RequestQueue =>
    new OrderedQueue({ maxWaiting, slots, getSortKey: request => getSortKey(request, deployment) })
  return {
    name,
    createEntryQueue: ({ deployment }) => createQueue(deployment, ENTRY_MAX_WAITING, Infinity),
    createAgentQueue: ({ deployment }) => createQueue(deployment, CONNECTIONS_PER_WORKER, SLOTS_PER_WORKER),
    createRouter: ({ region, random }) => new TwoChoicesRouter({ region, random })
  }
}

/** Computes a sort key that orders requests by urgency of their class, then by arrival. */
function computeClassSortKey (request: QueuedRequest, deployment: Deployment): number {
  const rank = deployment.classes.findIndex(({ name }) => name === request.className)
  return rank * 1e9 + request.arrivedAt
}

/** Creates the baselines: FIFO, class priority, earliest deadline first, and the fair queue with round-robin routing. */
export function createBaselines (): Policy[] {
  const fair = createFairPolicy()
  return [
    {
      name: 'fifo',
      createEntryQueue: () => new FifoQueue({ maxWaiting: ENTRY_MAX_WAITING, slots: Infinity }),
      createAgentQueue: () => new FifoQueue({ maxWaiting: CONNECTIONS_PER_WORKER, slots: SLOTS_PER_WORKER }),
      createRouter: ({ region, random }) => new TwoChoicesRouter({ region, random })
    },
    createOrderedPolicy('classPriority', computeClassSortKey),
    createOrderedPolicy('edf', request => request.deadlineAt),
    { ...fair, name: 'roundRobin', createRouter: () => new RoundRobinRouter() }
  ]
}
