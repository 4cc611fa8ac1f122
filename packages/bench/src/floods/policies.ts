/**
 * What is compared: the fair queue with the fleet router, and the baselines.
 */
import { FairQueue, FifoQueue, FleetRouter, TwoChoicesRouter, computeEntryCapacity } from '@dragonflylever/core'
import type { FairQueueOptions, QueuedRequest, Random, RequestQueue, Router } from '@dragonflylever/core'

import { OrderedQueue } from './orderedQueue.js'
import { RoundRobinRouter } from './roundRobinRouter.js'
import { CONNECTIONS_PER_WORKER, SLOTS_PER_WORKER, createPolicy } from './workload.js'
import type { Deployment } from './workload.js'

const ENTRY_MAX_WAITING = 4_096
/** Half of 20 Mbit/s, shared by the entries. */
const LINK_BYTES_PER_SECOND = 1_250_000

/** What a policy is built for. */
export interface PolicyContext {
  readonly deployment: Deployment
  /** Workers that are up, and entries. */
  readonly workers: number
  readonly entries: number
  /** Entries of the same region. */
  readonly localEntries: number
  readonly region: string
  readonly random: Random
}

/** Creates the parts of entries and agents. */
export interface Policy {
  readonly name: string
  createEntryQueue (context: PolicyContext): RequestQueue
  createAgentQueue (context: PolicyContext): RequestQueue
  createRouter (context: PolicyContext): Router
}

/** Constants that a sensitivity run changes. */
export type FairConstants = Pick<FairQueueOptions, 'reserve' | 'admission'>

/** Creates the policy under test. */
export function createFairPolicy (constants: FairConstants = {}, name = 'fair'): Policy {
  return {
    name,
    createEntryQueue: context => {
      const agents = Array.from({ length: context.workers }, () => ({ slots: SLOTS_PER_WORKER }))
      return new FairQueue({ ...computeEntryCapacity(agents, context.entries), maxWaiting: ENTRY_MAX_WAITING, policy: createPolicy(context.deployment), ...constants })
    },
    createAgentQueue: context => new FairQueue({ slots: SLOTS_PER_WORKER, fleetSlots: context.workers * SLOTS_PER_WORKER, maxWaiting: CONNECTIONS_PER_WORKER, policy: createPolicy(context.deployment), ...constants }),
    createRouter: ({ region, random, entries, localEntries }) => {
      const router = new FleetRouter({ region, random, linkBytesPerSecond: LINK_BYTES_PER_SECOND / entries })
      router.update(localEntries, LINK_BYTES_PER_SECOND / entries)
      return router
    }
  }
}

function createOrderedPolicy (name: string, getKey: (request: QueuedRequest, deployment: Deployment) => number): Policy {
  const createQueue = (deployment: Deployment, maxWaiting: number, slots: number): RequestQueue =>
    new OrderedQueue({ maxWaiting, slots, getKey: request => getKey(request, deployment) })
  return {
    name,
    createEntryQueue: ({ deployment }) => createQueue(deployment, ENTRY_MAX_WAITING, Infinity),
    createAgentQueue: ({ deployment }) => createQueue(deployment, CONNECTIONS_PER_WORKER, SLOTS_PER_WORKER),
    createRouter: ({ region, random }) => new TwoChoicesRouter({ region, random })
  }
}

/** Position of a class in the order of urgency, then arrival. */
function computePriority (request: QueuedRequest, deployment: Deployment): number {
  const rank = deployment.classes.findIndex(({ name }) => name === request.className)
  return rank * 1e9 + request.arrivedAt
}

/** Creates the baselines. */
export function createBaselines (): Policy[] {
  const fair = createFairPolicy()
  return [
    {
      name: 'fifo',
      createEntryQueue: () => new FifoQueue({ maxWaiting: ENTRY_MAX_WAITING, slots: Infinity }),
      createAgentQueue: () => new FifoQueue({ maxWaiting: CONNECTIONS_PER_WORKER, slots: SLOTS_PER_WORKER }),
      createRouter: ({ region, random }) => new TwoChoicesRouter({ region, random })
    },
    createOrderedPolicy('classPriority', computePriority),
    createOrderedPolicy('edf', request => request.deadlineAt),
    { ...fair, name: 'roundRobin', createRouter: () => new RoundRobinRouter() }
  ]
}
