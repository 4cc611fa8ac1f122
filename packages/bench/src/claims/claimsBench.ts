/**
 * Claims experiment: store calls per request and added latency of claims on idempotency keys, for one write per claim and for
 * group commit with several minimum intervals between store calls.
 */
import { SeededRandom, makeAnswered } from '@dragonflylever/core'
import type { Outcome } from '@dragonflylever/core'
import { ClaimLease, ClaimService, ClaimWriter } from '@dragonflylever/daemon'
import type { CallerRequest, ClaimServiceDependencies, ClaimWrite, ClaimWriteResult } from '@dragonflylever/daemon'
import { EtcdStore } from '@dragonflylever/adapters'
import type { Store } from '@dragonflylever/adapters'
import { StoreStandIn } from '@dragonflylever/standins'
import { build } from 'hdr-histogram-js'

import type { Bench, BenchOptions } from '../bench.js'

const RATES_PER_S = [50, 300, 1_000]
const RUN_MS = 4_000
const QUICK_RUN_MS = 500
const STORE_DELAY_MS = 3
const ANSWER_BYTES = 256
const US_PER_MS = 1_000
const MS_PER_S = 1_000

type Writer = ClaimServiceDependencies['writer']

/** Baseline that writes each claim with a separate store call. */
class SingleWriter implements Writer {
  readonly bytes = 0
  private readonly _store: Store
  private readonly _lease: ClaimLease

  constructor (store: Store) {
    this._store = store
    this._lease = new ClaimLease(store)
  }

  async submit (write: ClaimWrite): Promise<ClaimWriteResult> {
    const leaseId = await this._lease.getLeaseId()
    if (leaseId === undefined) return { kind: 'unavailable', isAmbiguous: false }
    const outcome = await this._store.put({ key: write.key, value: write.value, expect: write.expect, leaseId })
    if (outcome.kind === 'ambiguous') return { kind: 'unavailable', isAmbiguous: true }
    return outcome.kind === 'rejected' || outcome.kind === 'unavailable' ? { kind: 'unavailable', isAmbiguous: false } : outcome
  }
}

function createGroupCommitWriter (store: Store, seed: number, minIntervalMs: number): Writer {
  return new ClaimWriter({ store, lease: new ClaimLease(store), random: new SeededRandom(seed), minIntervalMs })
}

const WRITERS: Readonly<Record<string, (store: Store, seed: number) => Writer>> = {
  perRequest: store => new SingleWriter(store),
  group0Ms: (store, seed) => createGroupCommitWriter(store, seed, 0),
  group10Ms: (store, seed) => createGroupCommitWriter(store, seed, 10),
  group20Ms: (store, seed) => createGroupCommitWriter(store, seed, 20)
}

function makeRequest (index: number): CallerRequest {
  const now = performance.now()
  return {
    requestId: `request-${index}`,
    className: 'reconciliation',
    organisation: 'guild',
    caller: 'bench',
    idempotencyKey: `key-${index}`,
    isIdempotent: false,
    arrivedAt: now,
    deadlineAt: now + 10_000,
    method: 'POST',
    path: '/credit',
    headers: [],
    traceparent: undefined,
    body: Buffer.from('one hour')
  }
}

async function measureWriter (writerName: string, ratePerS: number, runMs: number, seed: number): Promise<object> {
  const standIn = await StoreStandIn.open()
  const store = new EtcdStore({ urls: [standIn.url] })
  const inner = { serve: async (): Promise<Outcome> => makeAnswered({ status: 200, headers: [], body: Buffer.alloc(ANSWER_BYTES, 'x') }) }
  const writer = WRITERS[writerName]?.(store, seed)
  if (writer === undefined) throw new Error(`invariant: no claim writer is named ${writerName}`)
  const service = new ClaimService({ store, writer, inner, prefix: 'bench' })
  const histogram = build()
  let failed = 0
  const serveRequest = async (index: number): Promise<void> => {
    const startedAt = performance.now()
    const outcome = await service.serve(makeRequest(index), new AbortController().signal)
    if (outcome.kind !== 'answered') failed++
    histogram.recordValue(Math.round((performance.now() - startedAt) * US_PER_MS))
  }
  await serveRequest(0)
  await service.drain()
  histogram.reset()
  standIn.faults.delayMs = STORE_DELAY_MS
  const writesBefore = standIn.counts.writes
  const startedAt = performance.now()
  const served: Array<Promise<void>> = []
  while (performance.now() - startedAt < runMs) {
    const due = Math.floor((performance.now() - startedAt) / MS_PER_S * ratePerS)
    while (served.length < due) served.push(serveRequest(served.length + 1))
    await new Promise(resolve => setTimeout(resolve, 1))
  }
  await Promise.all(served)
  await service.drain()
  const writes = standIn.counts.writes - writesBefore
  const seconds = (performance.now() - startedAt) / MS_PER_S
  await store.close()
  await standIn.close()
  return {
    requests: served.length,
    failed,
    storeCallsPerRequest: Math.round(writes / served.length * 100) / 100,
    storeCallsPerS: Math.round(writes / seconds),
    p50Ms: histogram.getValueAtPercentile(50) / US_PER_MS,
    p99Ms: histogram.getValueAtPercentile(99) / US_PER_MS
  }
}

async function runBench (options: BenchOptions): Promise<object> {
  const results: Record<string, object> = {}
  for (const rate of RATES_PER_S) {
    for (const writerName of Object.keys(WRITERS)) {
      options.printProgress(`${writerName} at ${rate} requests/s`)
      results[`${writerName} ${rate}/s`] = await measureWriter(writerName, rate, options.isQuick ? QUICK_RUN_MS : RUN_MS, options.seed)
    }
  }
  return { storeDelayMs: STORE_DELAY_MS, results }
}

export const claimsBench: Bench = {
  name: 'claims',
  help: 'store calls and latency of claims on idempotency keys',
  run: runBench
}
