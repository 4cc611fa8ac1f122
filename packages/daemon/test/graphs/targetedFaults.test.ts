/**
 * Faults at times at which only one safeguard prevents two simultaneous runs of a task. Each test fails if its safeguard is removed.
 */
import test from 'ava'

import { makeStep } from './graphSimulation.js'
import type { SimulatedJob } from './graphSimulation.js'
import { runScenario } from './runScenario.js'
import type { Scenario } from './runScenario.js'

const WORKERS = 4

function makeJob (number: number, given: Partial<SimulatedJob> = {}): SimulatedJob {
  return { id: number.toString(16).padStart(16, '0'), priority: 1, durationMs: 4_000, failures: 0, steps: [makeStep()], ...given }
}

/** Runs a scenario in a simulation; returns the violations of invariants. */
async function listViolations (scenario: Scenario): Promise<string[]> {
  return (await runScenario(WORKERS, scenario)).violations
}

function listOtherNodes (excluded: number): number[] {
  return Array.from({ length: WORKERS }, (_, index) => index).filter(index => index !== excluded)
}

test.serial('a planner that has not noticed the loss of its leadership stores nothing, so that its starts can\'t overlap those of its successor', async t => {
  t.timeout(300_000)
  // The leader's lease is renewed every 0.8 s. With one of these offsets, the lease ends after a renewal and before a run ends and frees capacity.
  for (let offsetMs = 0; offsetMs < 800; offsetMs += 100) {
    const faults = await listViolations(async (simulation, clock) => {
      const whole = makeStep({ accelerators: 8, cpuMillis: 8_000 })
      for (const index of [0, 1]) void simulation.submit(makeJob(index + 1, { steps: [whole] }))
      await clock.tickAsync(60)
      for (const index of [2, 3]) void simulation.submit(makeJob(index + 1, { steps: [whole] }))
      await clock.tickAsync(940)
      void simulation.submit(makeJob(9, { steps: [whole], durationMs: 8_000 }))
      // The first two runs end about 4 s after their start, while the watches of two nodes are silent; the other runs end a little later.
      await clock.tickAsync(2_200 + offsetMs)
      const planner = simulation.findPlanner()
      for (const index of [planner, listOtherNodes(planner)[0] ?? 0]) simulation.getNode(index).memory.faults.skipWatchEvents = true
      simulation.store.revokeAllLeases()
      await clock.tickAsync(2_000)
      for (let index = 0; index < WORKERS; index++) {
        simulation.getNode(index).memory.faults.skipWatchEvents = false
        simulation.getNode(index).memory.endWatches()
      }
    })
    t.deepEqual(faults, [], `lease ended at ${offsetMs} ms`)
  }
})

test.serial('when the planner and another host are cut off from the rest, their runs end before the same tasks start on other hosts', async t => {
  const faults = await listViolations(async (simulation, clock) => {
    const planner = simulation.findPlanner()
    const partition = [planner, listOtherNodes(planner)[0] ?? 0]
    void simulation.submit(makeJob(1, { durationMs: 40_000, steps: [makeStep({ count: WORKERS, accelerators: 4 })] }))
    await clock.tickAsync(2_000)
    simulation.setPartition(partition, true)
    await clock.tickAsync(25_000)
    simulation.setPartition(partition, false)
  })
  t.deepEqual(faults, [])
})

test.serial('if a start is unanswered and its retry is refused, the task starts elsewhere only when the first attempt can no longer be carried out', async t => {
  const faults = await listViolations(async (simulation, clock) => {
    for (let index = 0; index < WORKERS; index++) {
      const { workerFaults } = simulation.getNode(index)
      workerFaults.delayedOrders = 1
      workerFaults.orderDelayMs = 3_000
      workerFaults.refuseOrders = 1
    }
    void simulation.submit(makeJob(1, { durationMs: 9_000 }))
    await clock.tickAsync(9_000)
  })
  t.deepEqual(faults, [])
})

test.serial('a write that the store applies seconds late does not overwrite a newer one', async t => {
  const faults = await listViolations(async (simulation, clock) => {
    const planner = simulation.findPlanner()
    const { faults: storeFaults } = simulation.getNode(planner).memory
    void simulation.submit(makeJob(1, { durationMs: 1_000 }))
    storeFaults.delayMs = 3_500
    await clock.tickAsync(20)
    storeFaults.delayMs = 0
    await clock.tickAsync(5_000)
    simulation.restartNode(planner, 2_000)
    await clock.tickAsync(10_000)
  })
  t.deepEqual(faults, [])
})

test.serial('a planner that was paused until its lease had run out extends no lease and starts nothing that its successor does not know of', async t => {
  t.timeout(300_000)
  // Work keeps ending and starting, so that the paused planner has orders and permissions at hand whenever it resumes.
  for (const pauseMs of [4_000, 7_000, 11_000]) {
    const faults = await listViolations(async (simulation, clock) => {
      for (let index = 1; index <= 12; index++) void simulation.submit(makeJob(index, { durationMs: 1_000 * (1 + index % 5), steps: [makeStep({ accelerators: 4 })] }))
      await clock.tickAsync(1_500)
      const paused = simulation.getNode(simulation.findPlanner())
      paused.setFrozen(true)
      for (let index = 21; index <= 28; index++) void simulation.submit(makeJob(index, { durationMs: 3_000, steps: [makeStep({ accelerators: 4 })] }))
      await clock.tickAsync(pauseMs)
      paused.setFrozen(false)
      await clock.tickAsync(6_000)
    })
    t.deepEqual(faults, [], `paused for ${pauseMs} ms`)
  }
})

test.serial('the runs of a worker that has restarted end before the same tasks start on other hosts when its host is cut off', async t => {
  const faults = await listViolations(async (simulation, clock) => {
    await clock.tickAsync(10_000)
    for (let index = 0; index < WORKERS; index++) simulation.crashWorker(index, 1_000)
    await clock.tickAsync(4_000)
    // One worker stays free, so that a lost task starts again at once.
    void simulation.submit(makeJob(1, { durationMs: 40_000, steps: [makeStep({ count: WORKERS - 1, accelerators: 8 })] }))
    await clock.tickAsync(3_000)
    const cutOff = listOtherNodes(simulation.findPlanner()).filter(index => simulation.getWorker(index).runCount > 0).slice(0, 1)
    t.is(cutOff.length, 1)
    simulation.setPartition(cutOff, true)
    await clock.tickAsync(20_000)
    simulation.setPartition(cutOff, false)
  })
  t.deepEqual(faults, [])
})
