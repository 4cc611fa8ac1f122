/**
 * Time until an accepted configuration is in force at every process.
 * Calls between processes cost no time here, so the figures show rounds and timeouts, not the network.
 */
import FakeTimers from '@sinonjs/fake-timers'

import type { Bench, BenchOptions } from '../bench.js'
import { MemoryFleet } from './memoryFleet.js'
import { createPlaces } from './places.js'

const SIZES = [10, 100, 630]
const STEP_MS = 50
const LIMIT_MS = 60_000
const SETTLE_MS = 10_000

/** What is wrong while the configuration spreads. */
const Fault = {
  none: 'none',
  storeDownAfterAcceptance: 'storeDownAfterAcceptance',
  tenthOfAgentsDead: 'tenthOfAgentsDead',
  registrarsDead: 'registrarsDead'
} as const
type Fault = typeof Fault[keyof typeof Fault]

interface Spread {
  readonly agents: number
  readonly fault: Fault
  /** Seconds until half and all of the running processes have it; -1 when not within a minute. */
  readonly halfS: number
  readonly allS: number
  readonly documentBytes: number
  readonly linkBytes: number
  readonly maxNodeBytes: number
}

async function runSpread (agents: number, fault: Fault, seed: number): Promise<Spread> {
  const clock = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'performance'] })
  try {
    const fleet = new MemoryFleet(createPlaces(agents), seed)
    fleet.startAll()
    await clock.tickAsync(SETTLE_MS)
    const linkBefore = fleet.linkBytes
    const before = collectBytes(fleet)
    killBefore(fleet, fault)
    fleet.accept('n1-e0', 1)
    if (fault === Fault.storeDownAfterAcceptance) fleet.setStoreDown(true)
    let half = -1
    let all = -1
    for (let passed = 0; passed <= LIMIT_MS && all < 0; passed += STEP_MS) {
      const count = fleet.running.filter(one => one.node.holder.revision === 1).length
      if (half < 0 && count * 2 >= fleet.running.length) half = passed
      if (count === fleet.running.length) all = passed
      else await clock.tickAsync(STEP_MS)
    }
    const after = collectBytes(fleet)
    const documentBytes = JSON.stringify(fleet.get('n1-e0').board.get('configuration')).length
    const maxNodeBytes = Math.max(...[...after].map(([id, bytes]) => bytes - (before.get(id) ?? 0)))
    return { agents, fault, halfS: half / 1_000, allS: all / 1_000, documentBytes, linkBytes: fleet.linkBytes - linkBefore, maxNodeBytes }
  } finally {
    clock.uninstall()
  }
}

function killBefore (fleet: MemoryFleet, fault: Fault): void {
  const doomed = fleet.running.filter((one, index) => {
    if (fault === Fault.tenthOfAgentsDead) return one.id.includes('-a') && index % 10 === 0
    return fault === Fault.registrarsDead && one.node.isRegistrar && one.id !== 'n1-e0'
  })
  for (const { id } of doomed) fleet.kill(id)
}

function collectBytes (fleet: MemoryFleet): Map<string, number> {
  return new Map(fleet.running.map(one => {
    const { sentBytes, receivedBytes } = fleet.peers.getTraffic(one.address)
    return [one.id, sentBytes + receivedBytes]
  }))
}

async function runBench (options: BenchOptions): Promise<object> {
  const spreads: Spread[] = []
  for (const agents of SIZES) {
    for (const fault of Object.values(Fault)) {
      options.note(`${agents} agents: ${fault}`)
      spreads.push(await runSpread(agents, fault, options.seed))
    }
  }
  return { spreads }
}

export const configSpreadBench: Bench = {
  name: 'config-spread',
  help: 'seconds until an accepted configuration is in force everywhere, and what that costs',
  run: runBench
}
