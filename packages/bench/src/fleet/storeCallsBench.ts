/**
 * Store calls experiment: load on the store, the processes and the link between regions that is caused by membership, leader election and
 * configuration, at several fleet sizes.
 */
import FakeTimers from '@sinonjs/fake-timers'

import type { Bench, BenchOptions } from '../bench.js'
import { measurePhase } from './fleetMeasure.js'
import type { FleetRates } from './fleetMeasure.js'
import { MemoryFleet } from './memoryFleet.js'
import { createDomainLayouts } from './domainLayouts.js'

const SIZES = [10, 100, 630]
const PHASE_S = 60
const QUICK_PHASE_S = 10
const SETTLE_S = 10
/** Seconds between agent restarts in the fleet. The workload that the system is designed for has one restart in 1 500 s. */
const RESTART_INTERVAL_S = 5

interface FleetSizeResult {
  readonly agents: number
  readonly start: FleetRates
  readonly rest: FleetRates
  readonly restarts: FleetRates
  readonly outage: FleetRates
  readonly recovery: FleetRates
}

async function measureFleetSize (agents: number, options: BenchOptions): Promise<FleetSizeResult> {
  const clock = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'performance'] })
  try {
    const advance = async (ms: number): Promise<void> => { await clock.tickAsync(ms) }
    const seconds = options.isQuick ? QUICK_PHASE_S : PHASE_S
    const fleet = new MemoryFleet(createDomainLayouts(agents), options.seed)
    fleet.startAll()
    const start = await measurePhase(fleet, SETTLE_S, advance)
    options.printProgress(`${agents} agents: rest`)
    const rest = await measurePhase(fleet, seconds, advance)
    options.printProgress(`${agents} agents: restarts`)
    const restarts = await measurePhase(fleet, seconds, advance, second => restartAgent(fleet, second))
    options.printProgress(`${agents} agents: outage`)
    fleet.setStoreDown(true)
    const outage = await measurePhase(fleet, seconds, advance, second => restartAgent(fleet, second))
    fleet.setStoreDown(false)
    const recovery = await measurePhase(fleet, SETTLE_S, advance)
    return { agents, start, rest, restarts, outage, recovery }
  } finally {
    clock.uninstall()
  }
}

function restartAgent (fleet: MemoryFleet, second: number): void {
  if (second % RESTART_INTERVAL_S !== 0) return
  const agents = fleet.running.filter(one => one.id.includes('-a'))
  const chosen = agents[(second * 7) % agents.length]
  if (chosen === undefined) return
  fleet.kill(chosen.id)
  fleet.start(chosen.id)
}

async function runBench (options: BenchOptions): Promise<object> {
  const sizes: FleetSizeResult[] = []
  for (const agents of SIZES) sizes.push(await measureFleetSize(agents, options))
  const first = sizes[0]
  const last = sizes.at(-1)
  if (first === undefined || last === undefined) throw new Error('invariant: SIZES is empty')
  const addedCallsPerS = last.rest.storeWritesPerS.mean + last.rest.storeReadsPerS.mean - first.rest.storeWritesPerS.mean - first.rest.storeReadsPerS.mean
  return { sizes, storeCallsPerSPerAddedWorkerAtRest: Math.round(addedCallsPerS / (last.agents - first.agents) * 1e4) / 1e4 }
}

export const storeCallsBench: Bench = {
  name: 'store-calls',
  help: 'store calls by kind, bytes per node and over the link: at rest, during restarts and during a store outage',
  run: runBench
}
