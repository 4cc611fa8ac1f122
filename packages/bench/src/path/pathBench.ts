/**
 * Request path experiment: latency that the two hops (entry and agent) add to a direct call of an endpoint, and request rate and memory of one
 * entry process.
 */
import { build } from 'hdr-histogram-js'
import { Pool } from 'undici'

import type { Bench, BenchOptions } from '../bench.js'
import { readCpuSeconds, readResidentMb } from '../processStats.js'
import { PathFleet } from './pathFleet.js'

const HEADERS = { 'dfl-class': 'care-match', 'dfl-organisation': 'guild', 'dfl-caller': 'bench' }
const AGENTS = 4
const CONNECTIONS = 24
const BODY = 'x'.repeat(256)
const US_PER_MS = 1_000

interface LoadResult {
  readonly p50Ms: number
  readonly p99Ms: number
  readonly requestsPerS: number
  readonly failed: number
}

/** Sends `count` requests over `concurrency` connections, as fast as possible or at most at `ratePerS`. */
async function runLoad (url: string, path: string, count: number, concurrency: number, ratePerS?: number): Promise<LoadResult> {
  const pool = new Pool(url, { connections: concurrency, pipelining: 1 })
  const histogram = build()
  let failed = 0
  let next = 0
  const startedAt = performance.now()
  const sendNext = async (): Promise<void> => {
    while (next < count) {
      const index = next++
      if (ratePerS !== undefined) await waitUntil(startedAt + index * 1_000 / ratePerS)
      const sentAt = performance.now()
      const response = await pool.request({ method: 'POST', path, headers: HEADERS, body: BODY })
      await response.body.arrayBuffer()
      if (response.statusCode !== 200) failed++
      histogram.recordValue(Math.round((performance.now() - sentAt) * US_PER_MS))
    }
  }
  await Promise.all(Array.from({ length: concurrency }, sendNext))
  const requestsPerS = Math.round(count / (performance.now() - startedAt) * 1_000)
  await pool.close()
  return { p50Ms: histogram.getValueAtPercentile(50) / US_PER_MS, p99Ms: histogram.getValueAtPercentile(99) / US_PER_MS, requestsPerS, failed }
}

async function waitUntil (at: number): Promise<void> {
  const delay = at - performance.now()
  if (delay > 1) await new Promise(resolve => setTimeout(resolve, delay))
}

async function runBench (options: BenchOptions): Promise<object> {
  const scale = options.isQuick ? 0.1 : 1
  const fleet = await PathFleet.start(AGENTS)
  const entryPid = fleet.entry.pid
  const agentPid = fleet.agent.pid
  try {
    const url = fleet.callerUrl
    const atRest = { entryMb: readResidentMb(entryPid), agentMb: readResidentMb(agentPid) }
    options.printProgress('warming up')
    await runLoad(fleet.directUrl, '/v1/call/x', 5_000 * scale, CONNECTIONS)
    await runLoad(url, '/v1/call/x', 20_000 * scale, CONNECTIONS)
    options.printProgress('full load')
    const cpuBefore = readCpuSeconds(entryPid)
    const full = await runLoad(url, '/v1/call/x', 30_000 * scale, CONNECTIONS)
    const cpuSeconds = readCpuSeconds(entryPid) - cpuBefore
    const halfRate = Math.round(full.requestsPerS / 2)
    options.printProgress('half load')
    const half = await runLoad(url, '/v1/call/x', 15_000 * scale, CONNECTIONS, halfRate)
    const base = await runLoad(fleet.directUrl, '/v1/call/x', 15_000 * scale, CONNECTIONS, halfRate)
    options.printProgress('memory')
    const memory = await measureMemoryGrowth(url, entryPid, agentPid, 100_000 * scale)
    const inFlight = await measureInFlightMemory(url, entryPid)
    return {
      full: { ...full, entryCpuUsPerRequest: Math.round(cpuSeconds / (30_000 * scale) * 1e6), requestsPerSPerCore: Math.round(30_000 * scale / cpuSeconds) },
      half: { rate: halfRate, direct: base, throughTwoHops: half, addedP50Ms: half.p50Ms - base.p50Ms, addedP99Ms: half.p99Ms - base.p99Ms },
      memory: { atRest, ...memory, inFlight }
    }
  } finally {
    await fleet.close()
  }
}

async function measureMemoryGrowth (url: string, entryPid: number, agentPid: number, count: number): Promise<object> {
  const before = { entryMb: readResidentMb(entryPid), agentMb: readResidentMb(agentPid) }
  const load = await runLoad(url, '/v1/call/x', count, CONNECTIONS)
  return { requests: count, failed: load.failed, before, after: { entryMb: readResidentMb(entryPid), agentMb: readResidentMb(agentPid) } }
}

async function measureInFlightMemory (url: string, entryPid: number): Promise<object> {
  const before = readResidentMb(entryPid)
  const pool = new Pool(url, { connections: 1_000, pipelining: 1 })
  const headers = { ...HEADERS, 'x-run-ms': '500', 'dfl-deadline-ms': '60000' }
  const answered = Promise.all(Array.from({ length: 1_000 }, async () => {
    const response = await pool.request({ method: 'POST', path: '/v1/call/x', headers, body: BODY })
    await response.body.arrayBuffer()
  }))
  await new Promise(resolve => setTimeout(resolve, 2_000))
  const during = readResidentMb(entryPid)
  await answered
  await pool.close()
  return { requests: 1_000, entryMbPer1000: Math.round((during - before) * 10) / 10 }
}

export const pathBench: Bench = {
  name: 'path',
  help: 'latency, request rate and memory of the two hops',
  run: runBench
}
