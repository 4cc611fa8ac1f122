/**
 * Checks the outcomes that callers receive against what the endpoints ran, over random schedules of faults under a fake clock.
 */
import type { Outcome } from '@dragonflylever/core'
import { MemoryStore } from '@dragonflylever/standins'
import fakeTimers from '@sinonjs/fake-timers'
import test from 'ava'
import * as fc from 'fast-check'

import type { CallerRequest } from '../../src/index.js'
import { RunFaults, SendFaults, SimulatedAgent, computeAnswer, waitFor } from './simulatedAgent.js'
import { SimulatedEntry } from './simulatedEntry.js'

const SEED = 20261204
const AGENTS = 2
const ENTRIES = 3
const SETTLE_MS = 3_000
/**
 * Maximum time from a request's deadline to its outcome at the caller, in milliseconds: covers the timeout of one withdrawal call and the
 * delay before its retry.
 */
const MAX_LATENESS_MS = 1_000

const call = fc.record({
  at: fc.nat(1_500),
  entry: fc.nat(ENTRIES - 1),
  key: fc.option(fc.nat(2), { nil: undefined }),
  hasOtherBody: fc.boolean(),
  isIdempotent: fc.boolean(),
  runMs: fc.nat(200),
  deadlineMs: fc.integer({ min: 50, max: 2_500 }),
  hangUpMs: fc.option(fc.nat(300), { nil: undefined, freq: 6 })
})
const systemFault = fc.record({
  at: fc.nat(1_500),
  kind: fc.constantFrom('freezeAgent', 'restartAgent', 'killEntry', 'storeDown', 'storeSlow', 'loseStoreAnswers'),
  index: fc.nat(ENTRIES - 1),
  ms: fc.integer({ min: 50, max: 800 })
})
const schedule = fc.record({
  calls: fc.array(call, { minLength: 1, maxLength: 14 }),
  faults: fc.array(systemFault, { maxLength: 4 }),
  sendFaults: fc.array(fc.oneof({ weight: 3, arbitrary: fc.constant('none' as const) }, { weight: 2, arbitrary: fc.constantFrom(...SendFaults) }), { minLength: 1, maxLength: 12 }),
  runFaults: fc.array(fc.oneof({ weight: 5, arbitrary: fc.constant('none' as const) }, { weight: 1, arbitrary: fc.constantFrom(...RunFaults) }), { minLength: 1, maxLength: 12 })
})
type Schedule = typeof schedule extends fc.Arbitrary<infer S> ? S : never

interface CallRecord {
  readonly request: CallerRequest
  readonly workId: string
  readonly entry: SimulatedEntry
  outcome: Outcome | undefined
  endedAt: number
  hasHungUp: boolean
}

interface Trial {
  readonly calls: readonly CallRecord[]
  /** Calls whose entry was killed; they may have no outcome. */
  readonly orphans: ReadonlySet<CallRecord>
  readonly executions: readonly string[]
}

function makeCycle<T> (values: readonly T[]): () => T {
  let next = 0
  return () => values[next++ % values.length] as T
}

function makeRequest (planned: Schedule['calls'][number], workId: string): CallerRequest {
  const now = performance.now()
  return {
    requestId: workId,
    className: planned.isIdempotent ? 'care-match' : 'reconciliation',
    organisation: 'guild',
    caller: 'member-1',
    idempotencyKey: planned.key === undefined ? undefined : `key-${planned.key}`,
    isIdempotent: planned.isIdempotent,
    arrivedAt: now,
    deadlineAt: now + planned.deadlineMs,
    method: 'POST',
    path: '/credit',
    headers: [['x-work-id', workId], ['x-run-ms', String(planned.runMs)]],
    traceparent: undefined,
    body: Buffer.from(planned.key === undefined ? workId : `key-${planned.key} ${planned.hasOtherBody}`)
  }
}

async function runTrial (plan: Schedule): Promise<Trial> {
  const clock = fakeTimers.install()
  try {
    const nextRunFault = makeCycle(plan.runFaults)
    const agents = Array.from({ length: AGENTS }, (_, index) => new SimulatedAgent(index, nextRunFault))
    const store = new MemoryStore()
    const nextSendFault = makeCycle(plan.sendFaults)
    const entries = Array.from({ length: ENTRIES }, (_, index) => new SimulatedEntry({ agents, store, nextSendFault, seed: index }))
    const calls: CallRecord[] = []
    plan.calls.forEach((planned, index) => setTimeout(() => { calls.push(startCall(planned, `work-${index}`, entries)) }, planned.at))
    for (const fault of plan.faults) setTimeout(() => { void applyFault(fault, agents, entries, store) }, fault.at)
    await clock.tickAsync(1_500 + 2_500 + SETTLE_MS)
    const orphans = new Set(calls.filter(({ entry }) => entry.isDead))
    for (const entry of entries) entry.kill()
    await Promise.all(agents.map(agent => agent.close()))
    return { calls, orphans, executions: agents.flatMap(agent => agent.executions) }
  } finally {
    clock.uninstall()
  }
}

function startCall (planned: Schedule['calls'][number], workId: string, entries: readonly SimulatedEntry[]): CallRecord {
  const entry = entries[planned.entry] as SimulatedEntry
  const request = makeRequest(planned, workId)
  const gone = new AbortController()
  const record: CallRecord = { request, workId, entry, outcome: undefined, endedAt: 0, hasHungUp: false }
  if (planned.hangUpMs !== undefined) setTimeout(() => { record.hasHungUp = record.outcome === undefined; gone.abort() }, planned.hangUpMs)
  if (entry.isDead) return record
  void entry.serve(request, gone.signal).then(outcome => { record.outcome = outcome; record.endedAt = performance.now() })
  return record
}

async function applyFault (fault: Schedule['faults'][number], agents: readonly SimulatedAgent[], entries: readonly SimulatedEntry[], store: MemoryStore): Promise<void> {
  const agent = agents[fault.index % AGENTS]
  if (fault.kind === 'freezeAgent') agent?.pause(fault.ms)
  if (fault.kind === 'killEntry') entries[fault.index]?.kill()
  if (fault.kind === 'loseStoreAnswers') store.faults.loseAnswers = fault.index + 1
  if (fault.kind === 'storeDown') store.faults.isDown = true
  if (fault.kind === 'storeSlow') store.faults.delayMs = fault.ms / 4
  if (fault.kind === 'restartAgent') agent?.restart()
  await waitFor(fault.ms)
  store.faults.isDown = false
  store.faults.delayMs = 0
  for (const entry of entries) if (!entry.isDead) entry.update()
}

function count (executions: readonly string[], workIds: readonly string[]): number {
  return executions.filter(workId => workIds.includes(workId)).length
}

function checkProperty (check: (trial: Trial) => boolean): Promise<void> {
  const property = fc.asyncProperty(schedule, async plan => check(await runTrial(plan)))
  return Promise.resolve(fc.assert(property, { seed: SEED, numRuns: 250 }))
}

test.serial('a non-idempotent request runs at most once, and so do all requests under one idempotency key', async t => {
  await t.notThrowsAsync(checkProperty(({ calls, executions }) => {
    const nonIdempotent = calls.filter(({ request }) => !request.isIdempotent)
    return nonIdempotent.every(({ request, workId }) => {
      const sameKey = nonIdempotent.filter(other => other.workId === workId || (request.idempotencyKey !== undefined && other.request.idempotencyKey === request.idempotencyKey))
      return count(executions, sameKey.map(other => other.workId)) <= 1
    })
  }))
})

test.serial('a request with outcome notRun has not run and never will', async t => {
  await t.notThrowsAsync(checkProperty(({ calls, executions }) => {
    return calls.every(({ outcome, workId }) => outcome?.kind !== 'notRun' || count(executions, [workId]) === 0)
  }))
})

test.serial('each answer that a caller receives is the answer to its own request', async t => {
  await t.notThrowsAsync(checkProperty(({ calls }) => {
    return calls.every(({ outcome, request }) => outcome?.kind !== 'answered' || outcome.answer.body.toString() === computeAnswer(request.body))
  }))
})

test.serial('every caller of a live entry gets its outcome at most one second after its deadline', async t => {
  await t.notThrowsAsync(checkProperty(({ calls, orphans }) => {
    return calls.filter(one => !orphans.has(one)).every(({ outcome, endedAt, request, hasHungUp }) => {
      return outcome !== undefined && (hasHungUp || endedAt <= request.deadlineAt + MAX_LATENESS_MS)
    })
  }))
})
