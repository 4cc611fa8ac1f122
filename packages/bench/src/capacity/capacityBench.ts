/**
 * Capacity experiment: CPU, memory and store calls of each role in idle fleets of real processes at several sizes, with a fitted line
 * (slope and intercept) over the number of agents.
 */
import { fileURLToPath } from 'node:url'

import { ProcessFleet } from '@dragonflylever/standins'

import type { Bench, BenchOptions } from '../bench.js'
import { readCpuSeconds, readResidentMb } from '../processStats.js'
import { fitLine } from './fitLine.js'
import type { Point } from './fitLine.js'

const BINARY = fileURLToPath(import.meta.resolve('@dragonflylever/daemon/main'))
const SIZES = [4, 12, 24] as const
const QUICK_SIZES = [2, 4, 6] as const
const TARGET_AGENTS = 630
const AGENTS_PER_DOMAIN = 90
const SETTLE_MS = 6_000
const MEASURE_MS = 20_000
const MS_PER_S = 1_000
const PERCENT = 100

interface FleetSample {
  readonly agents: number
  /** CPU use, in percent of one core, of the only entry, which is also the registrar and the planner. */
  readonly entryCpuPercent: number
  readonly entryMb: number
  readonly agentCpuPercent: number
  readonly agentMb: number
  readonly storeCallsPerS: number
}

async function measureFleet (agents: number, isQuick: boolean): Promise<FleetSample> {
  const fleet = await ProcessFleet.start({ binary: BINARY, entries: 1, agents })
  try {
    await wait(SETTLE_MS)
    const measureMs = isQuick ? MEASURE_MS / 10 : MEASURE_MS
    const entry = fleet.entries[0]?.pid ?? 0
    const pids = fleet.agents.map(agent => agent.daemon.pid)
    const before = { entry: readCpuSeconds(entry), agents: sumCpuSeconds(pids), calls: countStoreCalls(fleet) }
    await wait(measureMs)
    const seconds = measureMs / MS_PER_S
    return {
      agents,
      entryCpuPercent: round((readCpuSeconds(entry) - before.entry) / seconds * PERCENT),
      entryMb: readResidentMb(entry),
      agentCpuPercent: round((sumCpuSeconds(pids) - before.agents) / seconds / agents * PERCENT),
      agentMb: round(pids.reduce((sum, pid) => sum + readResidentMb(pid), 0) / agents),
      storeCallsPerS: round((countStoreCalls(fleet) - before.calls) / seconds)
    }
  } finally {
    await fleet.close()
  }
}

function countStoreCalls (fleet: ProcessFleet): number {
  const { reads, writes, leases, watches } = fleet.store.counts
  return reads + writes + leases + watches
}

function sumCpuSeconds (pids: readonly number[]): number {
  return pids.reduce((sum, pid) => sum + readCpuSeconds(pid), 0)
}

async function wait (ms: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, ms))
}

function round (value: number): number {
  return Math.round(value * 1_000) / 1_000
}

async function runBench (options: BenchOptions): Promise<object> {
  const samples: FleetSample[] = []
  for (const agents of options.isQuick ? QUICK_SIZES : SIZES) {
    options.printProgress(`${agents} agents`)
    samples.push(await measureFleet(agents, options.isQuick))
  }
  const fit = (pick: (sample: FleetSample) => number, at: number): object => {
    const points: Point[] = samples.map(sample => ({ x: sample.agents, y: pick(sample) }))
    const { slope, intercept } = fitLine(points)
    return { slope: round(slope), intercept: round(intercept), at, value: round(intercept + slope * at) }
  }
  return {
    samples,
    lines: {
      registrarCpuPercent: fit(sample => sample.entryCpuPercent, AGENTS_PER_DOMAIN),
      entryMb: fit(sample => sample.entryMb, TARGET_AGENTS),
      agentCpuPercent: fit(sample => sample.agentCpuPercent, AGENTS_PER_DOMAIN),
      agentMb: fit(sample => sample.agentMb, AGENTS_PER_DOMAIN),
      storeCallsPerS: fit(sample => sample.storeCallsPerS, TARGET_AGENTS)
    }
  }
}

export const capacityBench: Bench = {
  name: 'capacity',
  help: 'CPU time, memory and store calls of each role at rest, at three fleet sizes',
  run: runBench
}
