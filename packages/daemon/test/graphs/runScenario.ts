/**
 * Runs a scenario in a {@link GraphSimulation} on a fake clock.
 */
import FakeTimers from '@sinonjs/fake-timers'
import type { Clock } from '@sinonjs/fake-timers'

import { GraphSimulation } from './graphSimulation.js'

/** Time in which a planner is elected, in milliseconds. */
const START_MS = 3_000
/** Time after the scenario in which leases expire, a new planner is elected and all jobs end, in milliseconds. */
const SETTLE_MS = 75_000

export type Scenario = (simulation: GraphSimulation, clock: Clock) => Promise<void>

/** Runs a scenario once a planner has been elected; returns the violations of invariants and the simulation, which has ended. */
export async function runScenario (workers: number, scenario: Scenario): Promise<{ readonly violations: string[], readonly simulation: GraphSimulation }> {
  const clock = FakeTimers.install({ now: 1_700_000_000_000, toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'performance', 'Date'] })
  const simulation = new GraphSimulation(workers)
  try {
    await clock.tickAsync(START_MS)
    await scenario(simulation, clock)
    await clock.tickAsync(SETTLE_MS)
    return { violations: simulation.listViolations(), simulation }
  } finally {
    simulation.close()
    await clock.tickAsync(2_000)
    clock.uninstall()
  }
}
