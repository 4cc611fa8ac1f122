/**
 * Measures store calls, traffic and CPU use of an in-memory fleet during one phase of an experiment.
 */
import type { StoreCallCounts } from '@dragonflylever/standins'

import { ENVELOPE_BYTES } from './memoryFleet.js'
import type { MemoryFleet } from './memoryFleet.js'

const MS_PER_S = 1_000

/** Store calls, traffic and CPU use per second of a phase. Bytes are those of the encoded parameters and results of calls, sent and received. */
export interface FleetRates {
  readonly seconds: number
  /** Mean and maximum number of store calls per second. A lease call counts as a write, and each open watch as one read per second. */
  readonly storeWritesPerS: { readonly mean: number, readonly max: number }
  readonly storeReadsPerS: { readonly mean: number, readonly max: number }
  readonly storeMeanPerSByKind: { readonly reads: number, readonly writes: number, readonly leases: number, readonly watchesOpened: number, readonly openWatches: number }
  readonly nodeBytesPerS: { readonly median: number, readonly max: number, readonly maxId: string }
  /** Bytes of {@link FleetRates.nodeBytesPerS} plus an estimate for HTTP headers and the JSON-RPC envelope. */
  readonly nodeBytesPerSWithEnvelope: { readonly median: number, readonly max: number }
  readonly linkBytesPerS: number
  /** Mean CPU use per simulated process, in percent of one core. It is derived from the CPU time of this process, so it is only a trial figure on a busy machine. */
  readonly cpuPercentPerNode: number
}

interface NodeTraffic {
  readonly bytes: number
  readonly calls: number
}

/** Advances the clock second by second and measures the rates; `perSecond` is called at the start of each second. */
export async function measurePhase (fleet: MemoryFleet, seconds: number, advance: (ms: number) => Promise<void>, perSecond: (second: number) => void = () => {}): Promise<FleetRates> {
  const startTraffic = collectTraffic(fleet)
  const startCounts = { ...fleet.counts }
  const startLink = fleet.linkBytes
  const startCpu = process.cpuUsage()
  const samples: Array<{ writes: number, reads: number, open: number }> = []
  for (let second = 0; second < seconds; second++) {
    const before = { ...fleet.counts }
    perSecond(second)
    await advance(MS_PER_S)
    samples.push({ ...countStoreCalls(before, fleet.counts), open: fleet.openWatches })
  }
  const cpu = process.cpuUsage(startCpu)
  const traffic = computeTrafficRates(fleet, startTraffic, seconds)
  const reads = samples.map(sample => sample.reads + sample.open)
  return {
    seconds,
    storeWritesPerS: computeMeanAndMax(samples.map(sample => sample.writes)),
    storeReadsPerS: computeMeanAndMax(reads),
    storeMeanPerSByKind: {
      reads: roundRate((fleet.counts.reads - startCounts.reads) / seconds),
      writes: roundRate((fleet.counts.writes - startCounts.writes) / seconds),
      leases: roundRate((fleet.counts.leases - startCounts.leases) / seconds),
      watchesOpened: roundRate((fleet.counts.watches - startCounts.watches) / seconds),
      openWatches: roundRate(samples.reduce((sum, sample) => sum + sample.open, 0) / seconds)
    },
    ...traffic,
    linkBytesPerS: Math.round((fleet.linkBytes - startLink) / seconds),
    cpuPercentPerNode: Math.round((cpu.user + cpu.system) / 1e4 / seconds / fleet.running.length * 1000) / 1000
  }
}

function countStoreCalls (before: StoreCallCounts, after: StoreCallCounts): { writes: number, reads: number } {
  const writes = after.writes + after.leases - before.writes - before.leases
  return { writes, reads: after.reads + after.watches - before.reads - before.watches }
}

function collectTraffic (fleet: MemoryFleet): Map<string, NodeTraffic> {
  return new Map(fleet.running.map(process => {
    const { sentBytes, receivedBytes, calls } = fleet.peers.getTraffic(process.address)
    return [process.id, { bytes: sentBytes + receivedBytes, calls }]
  }))
}

function computeTrafficRates (fleet: MemoryFleet, start: Map<string, NodeTraffic>, seconds: number): Pick<FleetRates, 'nodeBytesPerS' | 'nodeBytesPerSWithEnvelope'> {
  const rows = [...collectTraffic(fleet)].map(([id, now]) => {
    const bytes = (now.bytes - (start.get(id)?.bytes ?? 0)) / seconds
    const calls = (now.calls - (start.get(id)?.calls ?? 0)) / seconds
    return { id, bytes, full: bytes + calls * ENVELOPE_BYTES }
  })
  const byBytes = rows.map(row => row.bytes).sort((a, b) => a - b)
  const byFull = rows.map(row => row.full).sort((a, b) => a - b)
  const max = byBytes.at(-1) ?? 0
  return {
    nodeBytesPerS: { median: Math.round(byBytes[byBytes.length >> 1] ?? 0), max: Math.round(max), maxId: rows.find(row => row.bytes === max)?.id ?? '' },
    nodeBytesPerSWithEnvelope: { median: Math.round(byFull[byFull.length >> 1] ?? 0), max: Math.round(byFull.at(-1) ?? 0) }
  }
}

function computeMeanAndMax (values: readonly number[]): { mean: number, max: number } {
  return { mean: roundRate(values.reduce((sum, value) => sum + value, 0) / values.length), max: Math.max(...values) }
}

function roundRate (value: number): number {
  return Math.round(value * 100) / 100
}
