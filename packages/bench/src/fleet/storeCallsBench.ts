/**
 * What membership, duties and configuration cost the store, the processes and the link, at several sizes.
 */
import FakeTimers from '@sinonjs/fake-timers'

import type { Bench, BenchOptions } from '../bench.js'
import { measureStretch } from './fleetMeasure.js'
import type { FleetRates } from './fleetMeasure.js'
import { MemoryFleet } from './memoryFleet.js'
import { createPlaces } from './places.js'

const SIZES = [10, 100, 630]
const STRETCH_S = 60
const QUICK_STRETCH_S = 10
const SETTLE_S = 10
/** One agent is restarted every so many seconds; the letter's day has one in 1 500 s. */
const RESTART_EVERY_S = 5

interface SizeResult {
  readonly agents: number
  readonly start: FleetRates
  readonly rest: FleetRates
  readonly restarts: FleetRates
  readonly outage: FleetRates
  readonly recovery: FleetRates
}

async function runSize (agents: number, options: BenchOptions): Promise<SizeResult> {
  const clock = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'performance'] })
  try {
    const advance = async (ms: number): Promise<void> => { await clock.tickAsync(ms) }
    const seconds = options.isQuick ? QUICK_STRETCH_S : STRETCH_S
    const fleet = new MemoryFleet(createPlaces(agents), options.seed)
    fleet.startAll()
    const start = await measureStretch(fleet, SETTLE_S, advance)
    options.note(`${agents} agents: rest`)
    const rest = await measureStretch(fleet, seconds, advance)
    options.note(`${agents} agents: restarts`)
    const restarts = await measureStretch(fleet, seconds, advance, second => restartOne(fleet, second))
    options.note(`${agents} agents: outage`)
    fleet.setStoreDown(true)
    const outage = await measureStretch(fleet, seconds, advance, second => restartOne(fleet, second))
    fleet.setStoreDown(false)
    const recovery = await measureStretch(fleet, SETTLE_S, advance)
    return { agents, start, rest, restarts, outage, recovery }
  } finally {
    clock.uninstall()
  }
}

function restartOne (fleet: MemoryFleet, second: number): void {
  if (second % RESTART_EVERY_S !== 0) return
  const agents = fleet.running.filter(one => one.id.includes('-a'))
  const chosen = agents[(second * 7) % agents.length]
  if (chosen === undefined) return
  fleet.kill(chosen.id)
  fleet.start(chosen.id)
}

async function runBench (options: BenchOptions): Promise<object> {
  const sizes: SizeResult[] = []
  for (const agents of SIZES) sizes.push(await runSize(agents, options))
  const first = sizes[0]
  const last = sizes.at(-1)
  if (first === undefined || last === undefined) throw new Error('invariant: there are sizes')
  const grown = last.rest.storeWritesPerS.mean + last.rest.storeReadsPerS.mean - first.rest.storeWritesPerS.mean - first.rest.storeReadsPerS.mean
  return { sizes, storeCallsPerSPerAddedWorkerAtRest: Math.round(grown / (last.agents - first.agents) * 1e4) / 1e4 }
}

export const storeCallsBench: Bench = {
  name: 'store-calls',
  help: 'store calls by kind, bytes per node and over the link, at rest, through restarts and through an outage',
  run: runBench
}
