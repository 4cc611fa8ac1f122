/**
 * Configuration spread experiment: time until an accepted configuration is in force at every process.
 * Calls between processes take no time here, so the figures show the number of rounds and the timeouts, but no network latency.
 */
import FakeTimers from '@sinonjs/fake-timers'

import type { Bench, BenchOptions } from '../bench.js'
import { MemoryFleet } from './memoryFleet.js'
import { createDomainLayouts } from './domainLayouts.js'

const SIZES = [10, 100, 630]
const STEP_MS = 50
const TIMEOUT_MS = 60_000
const SETTLE_MS = 10_000

/** Fault that is present while the configuration spreads. */
const Fault = {
  none: 'none',
  storeDownAfterAcceptance: 'storeDownAfterAcceptance',
  tenthOfAgentsDead: 'tenthOfAgentsDead',
  registrarsDead: 'registrarsDead'
} as const
type Fault = typeof Fault[keyof typeof Fault]

interface ConfigSpreadResult {
  readonly agents: number
  readonly fault: Fault
  /** Seconds until half, and until all, of the running processes use the accepted revision; negative if this takes more than a minute. */
  readonly halfS: number
  readonly allS: number
  readonly documentBytes: number
  readonly linkBytes: number
  readonly maxNodeBytes: number
}

async function measureConfigSpread (agents: number, fault: Fault, seed: number): Promise<ConfigSpreadResult> {
  const clock = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'performance'] })
  try {
    const fleet = new MemoryFleet(createDomainLayouts(agents), seed)
    fleet.startAll()
    await clock.tickAsync(SETTLE_MS)
    const linkBefore = fleet.linkBytes
    const before = collectBytes(fleet)
    killProcesses(fleet, fault)
    fleet.acceptConfiguration('n1-e0', 1)
    if (fault === Fault.storeDownAfterAcceptance) fleet.setStoreDown(true)
    let halfMs = -1
    let allMs = -1
    for (let passedMs = 0; passedMs <= TIMEOUT_MS && allMs < 0; passedMs += STEP_MS) {
      const count = fleet.running.filter(one => one.node.holder.revision === 1).length
      if (halfMs < 0 && count * 2 >= fleet.running.length) halfMs = passedMs
      if (count === fleet.running.length) allMs = passedMs
      else await clock.tickAsync(STEP_MS)
    }
    const after = collectBytes(fleet)
    const documentBytes = JSON.stringify(fleet.getProcess('n1-e0').board.get('configuration')).length
    const maxNodeBytes = Math.max(...[...after].map(([id, bytes]) => bytes - (before.get(id) ?? 0)))
    return { agents, fault, halfS: halfMs / 1_000, allS: allMs / 1_000, documentBytes, linkBytes: fleet.linkBytes - linkBefore, maxNodeBytes }
  } finally {
    clock.uninstall()
  }
}

function killProcesses (fleet: MemoryFleet, fault: Fault): void {
  const chosen = fleet.running.filter((process, index) => {
    if (fault === Fault.tenthOfAgentsDead) return process.id.includes('-a') && index % 10 === 0
    return fault === Fault.registrarsDead && process.node.isRegistrar && process.id !== 'n1-e0'
  })
  for (const { id } of chosen) fleet.kill(id)
}

function collectBytes (fleet: MemoryFleet): Map<string, number> {
  return new Map(fleet.running.map(process => {
    const { sentBytes, receivedBytes } = fleet.peers.getTraffic(process.address)
    return [process.id, sentBytes + receivedBytes]
  }))
}

async function runBench (options: BenchOptions): Promise<object> {
  const spreads: ConfigSpreadResult[] = []
  for (const agents of SIZES) {
    for (const fault of Object.values(Fault)) {
      options.printProgress(`${agents} agents: ${fault}`)
      spreads.push(await measureConfigSpread(agents, fault, options.seed))
    }
  }
  return { spreads }
}

export const configSpreadBench: Bench = {
  name: 'config-spread',
  help: 'seconds until an accepted configuration is in force everywhere, and the bytes that this takes',
  run: runBench
}
