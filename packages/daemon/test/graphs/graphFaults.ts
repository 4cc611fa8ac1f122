/**
 * Faults and jobs of simulations with random faults.
 */
import fc from 'fast-check'

import { makeStep } from './graphSimulation.js'
import type { GraphSimulation, SimulatedJob } from './graphSimulation.js'

/** A fault of a simulation. Times are in milliseconds; `at` counts from the time when a planner has been elected. */
export interface Fault {
  readonly at: number
  readonly kind: keyof typeof FAULTS
  /** Index of the node at which the fault occurs; a multiple of three selects the node that is the planner at that time. */
  readonly who: number
  readonly forMs: number
}

/** Faults by name; each function starts the fault at a node and returns a function that ends it. */
export const FAULTS = {
  'node cut off from the store': (simulation: GraphSimulation, nodeIndex: number) => {
    const node = simulation.getNode(nodeIndex)
    node.setStoreDown(true)
    return () => node.setStoreDown(false)
  },
  'node cut off from its peers': (simulation: GraphSimulation, nodeIndex: number) => {
    const node = simulation.getNode(nodeIndex)
    node.setUnreachable(true)
    return () => node.setUnreachable(false)
  },
  'node frozen': (simulation: GraphSimulation, nodeIndex: number) => {
    const node = simulation.getNode(nodeIndex)
    node.setFrozen(true)
    return () => node.setFrozen(false)
  },
  'node killed': (simulation: GraphSimulation, nodeIndex: number, forMs: number) => {
    simulation.restartNode(nodeIndex, forMs)
    return () => {}
  },
  'node stopped': (simulation: GraphSimulation, nodeIndex: number, forMs: number) => {
    void simulation.stopNode(nodeIndex, forMs)
    return () => {}
  },
  'store down': (simulation: GraphSimulation) => {
    simulation.setStoreDown(true)
    return () => simulation.setStoreDown(false)
  },
  'answers of the store lost': (simulation: GraphSimulation, nodeIndex: number) => {
    simulation.getNode(nodeIndex).memory.faults.loseAnswers = 3
    return () => { simulation.getNode(nodeIndex).memory.faults.loseAnswers = 0 }
  },
  'writes done seconds later': (simulation: GraphSimulation, nodeIndex: number) => {
    const { faults } = simulation.getNode(nodeIndex).memory
    faults.delayMs = 2_500
    return () => { faults.delayMs = 0 }
  },
  'entry without answers': (simulation: GraphSimulation) => {
    simulation.entryMemory.faults.loseAnswers = 2
    return () => { simulation.entryMemory.faults.loseAnswers = 0 }
  },
  'worker cut off from its agent': (simulation: GraphSimulation, nodeIndex: number) => {
    const { workerFaults } = simulation.getNode(nodeIndex)
    workerFaults.isPartitioned = true
    return () => { workerFaults.isPartitioned = false }
  },
  'worker crashed': (simulation: GraphSimulation, nodeIndex: number) => {
    simulation.crashWorker(nodeIndex)
    return () => {}
  },
  'orders carried out late': (simulation: GraphSimulation, nodeIndex: number, forMs: number) => {
    const { workerFaults } = simulation.getNode(nodeIndex)
    workerFaults.delayedOrders = 3
    workerFaults.orderDelayMs = forMs
    return () => { workerFaults.delayedOrders = 0 }
  },
  'two nodes split off from the others and the store': (simulation: GraphSimulation, nodeIndex: number) => {
    const partition = [nodeIndex, nodeIndex + 1]
    simulation.setPartition(partition, true)
    return () => simulation.setPartition(partition, false)
  },
  'watches silent': (simulation: GraphSimulation, nodeIndex: number) => {
    const { memory } = simulation.getNode(nodeIndex)
    memory.faults.skipWatchEvents = true
    return () => {
      memory.faults.skipWatchEvents = false
      memory.endWatches()
    }
  },
  'leases of the store ended': (simulation: GraphSimulation) => {
    simulation.store.revokeAllLeases()
    return () => {}
  },
  'orders refused': (simulation: GraphSimulation, nodeIndex: number) => {
    simulation.getNode(nodeIndex).workerFaults.refuseOrders = 3
    return () => { simulation.getNode(nodeIndex).workerFaults.refuseOrders = 0 }
  },
  'answers of a worker lost': (simulation: GraphSimulation, nodeIndex: number) => {
    simulation.getNode(nodeIndex).workerFaults.loseAnswers = 3
    return () => { simulation.getNode(nodeIndex).workerFaults.loseAnswers = 0 }
  }
} as const

/** Lists jobs of many shapes (gangs, checkpointing, failing, long, steps in sequence), enough to fill the fleet. */
export function listJobs (): SimulatedJob[] {
  const makeId = (index: number): string => index.toString(16).padStart(16, '0')
  const shapes: Array<Omit<SimulatedJob, 'id'>> = [
    { priority: 1, durationMs: 3_000, failures: 0, steps: [makeStep({ count: 3, accelerators: 4 })] },
    { priority: 2, durationMs: 5_000, failures: 0, steps: [makeStep({ count: 4, isCheckpointing: true }), makeStep({ count: 2, after: [0] })] },
    { priority: 1, durationMs: 4_000, failures: 0, steps: [makeStep({ count: 3, accelerators: 4, isGang: true, isSameRack: true })] },
    { priority: 2, durationMs: 2_000, failures: Infinity, steps: [makeStep({ count: 2 })] },
    { priority: 0, durationMs: 2_000, failures: 0, steps: [makeStep({ count: 1, accelerators: 8 })] },
    { priority: 2, durationMs: 2_500, failures: 1, steps: [makeStep({ count: 2, isGang: true })] },
    { priority: 2, durationMs: 6_000, failures: 0, steps: [makeStep({ count: 8, isCheckpointing: true })] },
    { priority: 1, durationMs: 60_000, failures: 0, steps: [makeStep({ count: 2 })] }
  ]
  return shapes.map((shape, index) => ({ ...shape, id: makeId(index + 1) }))
}

/** Draws up to six faults. */
export function makeArbitrary (): fc.Arbitrary<Fault[]> {
  const fault = fc.record({
    at: fc.integer({ min: 0, max: 15_000 }),
    kind: fc.constantFrom(...Object.keys(FAULTS) as Array<Fault['kind']>),
    who: fc.nat(11),
    forMs: fc.integer({ min: 200, max: 9_000 })
  })
  return fc.array(fault, { minLength: 1, maxLength: 6 })
}
