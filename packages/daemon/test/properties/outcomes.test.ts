/**
 * What callers are told, against what endpoints ran, over random schedules of faults under a paused clock.
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
/** How long after its deadline a caller hears at the latest: one withdrawal's timeout and its pause. */
const LATEST_MS = 1_000

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
const disturbance = fc.record({
  at: fc.nat(1_500),
  kind: fc.constantFrom('freezeAgent', 'restartAgent', 'killEntry', 'storeDown', 'storeSlow', 'loseStoreAnswers'),
  index: fc.nat(ENTRIES - 1),
  ms: fc.integer({ min: 50, max: 800 })
})
const schedule = fc.record({
  calls: fc.array(call, { minLength: 1, maxLength: 14 }),
  disturbances: fc.array(disturbance, { maxLength: 4 }),
  sendFaults: fc.array(fc.oneof({ weight: 3, arbitrary: fc.constant('none' as const) }, { weight: 2, arbitrary: fc.constantFrom(...SendFaults) }), { minLength: 1, maxLength: 12 }),
  runFaults: fc.array(fc.oneof({ weight: 5, arbitrary: fc.constant('none' as const) }, { weight: 1, arbitrary: fc.constantFrom(...RunFaults) }), { minLength: 1, maxLength: 12 })
})
type Schedule = typeof schedule extends fc.Arbitrary<infer S> ? S : never

interface Told {
  readonly request: CallerRequest
  readonly workId: string
  readonly entry: SimulatedEntry
  outcome: Outcome | undefined
  endedAt: number
  hasHungUp: boolean
}

interface Trial {
  readonly told: readonly Told[]
  /** Callers whose entry died. */
  readonly orphans: ReadonlySet<Told>
  readonly executions: readonly string[]
}

function makeCycle<T> (values: readonly T[]): () => T {
  let next = 0
  return () => values[next++ % values.length] as T
}

function makeCall (given: Schedule['calls'][number], workId: string): CallerRequest {
  const now = performance.now()
  return {
    requestId: workId,
    className: given.isIdempotent ? 'care-match' : 'reconciliation',
    organisation: 'guild',
    caller: 'member-1',
    idempotencyKey: given.key === undefined ? undefined : `key-${given.key}`,
    isIdempotent: given.isIdempotent,
    arrivedAt: now,
    deadlineAt: now + given.deadlineMs,
    method: 'POST',
    path: '/credit',
    headers: [['x-work-id', workId], ['x-run-ms', String(given.runMs)]],
    traceparent: undefined,
    body: Buffer.from(given.key === undefined ? workId : `key-${given.key} ${given.hasOtherBody}`)
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
    const told: Told[] = []
    plan.calls.forEach((given, index) => setTimeout(() => { told.push(makeCaller(given, `work-${index}`, entries)) }, given.at))
    for (const given of plan.disturbances) setTimeout(() => { void applyDisturbance(given, agents, entries, store) }, given.at)
    await clock.tickAsync(1_500 + 2_500 + SETTLE_MS)
    const orphans = new Set(told.filter(({ entry }) => entry.isDead))
    for (const entry of entries) entry.kill()
    await Promise.all(agents.map(agent => agent.close()))
    return { told, orphans, executions: agents.flatMap(agent => agent.executions) }
  } finally {
    clock.uninstall()
  }
}

function makeCaller (given: Schedule['calls'][number], workId: string, entries: readonly SimulatedEntry[]): Told {
  const entry = entries[given.entry] as SimulatedEntry
  const request = makeCall(given, workId)
  const gone = new AbortController()
  const told: Told = { request, workId, entry, outcome: undefined, endedAt: 0, hasHungUp: false }
  if (given.hangUpMs !== undefined) setTimeout(() => { told.hasHungUp = told.outcome === undefined; gone.abort() }, given.hangUpMs)
  if (entry.isDead) return told
  void entry.serve(request, gone.signal).then(outcome => { told.outcome = outcome; told.endedAt = performance.now() })
  return told
}

async function applyDisturbance (given: Schedule['disturbances'][number], agents: readonly SimulatedAgent[], entries: readonly SimulatedEntry[], store: MemoryStore): Promise<void> {
  const agent = agents[given.index % AGENTS]
  if (given.kind === 'freezeAgent') agent?.pause(given.ms)
  if (given.kind === 'killEntry') entries[given.index]?.kill()
  if (given.kind === 'loseStoreAnswers') store.faults.loseAnswers = given.index + 1
  if (given.kind === 'storeDown') store.faults.isDown = true
  if (given.kind === 'storeSlow') store.faults.delayMs = given.ms / 4
  if (given.kind === 'restartAgent') agent?.restart()
  await waitFor(given.ms)
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
  await t.notThrowsAsync(checkProperty(({ told, executions }) => {
    const careful = told.filter(({ request }) => !request.isIdempotent)
    return careful.every(({ request, workId }) => {
      const sameKey = careful.filter(other => other.workId === workId || (request.idempotencyKey !== undefined && other.request.idempotencyKey === request.idempotencyKey))
      return count(executions, sameKey.map(other => other.workId)) <= 1
    })
  }))
})

test.serial('a request whose caller was told notRun has not run and never will', async t => {
  await t.notThrowsAsync(checkProperty(({ told, executions }) => {
    return told.every(({ outcome, workId }) => outcome?.kind !== 'notRun' || count(executions, [workId]) === 0)
  }))
})

test.serial('an answer belongs to its own request', async t => {
  await t.notThrowsAsync(checkProperty(({ told }) => {
    return told.every(({ outcome, request }) => outcome?.kind !== 'answered' || outcome.answer.body.toString() === computeAnswer(request.body))
  }))
})

test.serial('every caller of a living entry gets its outcome soon after its deadline', async t => {
  await t.notThrowsAsync(checkProperty(({ told, orphans }) => {
    return told.filter(one => !orphans.has(one)).every(({ outcome, endedAt, request, hasHungUp }) => {
      return outcome !== undefined && (hasHungUp || endedAt <= request.deadlineAt + LATEST_MS)
    })
  }))
})
