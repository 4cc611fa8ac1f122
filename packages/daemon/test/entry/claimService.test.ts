/**
 * Tests claims on idempotency keys with an in-memory store and a fake clock.
 */
import { ClaimState, SeededRandom, decodeClaim, makeAnswered, makeNotRun, makeUnknown } from '@dragonflylever/core'
import type { Outcome } from '@dragonflylever/core'
import { StoreEngine, MemoryStore } from '@dragonflylever/standins'
import fakeTimers from '@sinonjs/fake-timers'
import type { Clock } from '@sinonjs/fake-timers'
import test from 'ava'
import type { ExecutionContext } from 'ava'

import { ClaimLease, ClaimService, ClaimWriter } from '../../src/index.js'
import type { CallerRequest } from '../../src/index.js'

function createSignal (): AbortSignal {
  return new AbortController().signal
}

function pauseClock (t: ExecutionContext): Clock {
  const clock = fakeTimers.install()
  t.teardown(() => clock.uninstall())
  return clock
}

function makeRequest (body = 'credit one hour', deadlineMs = 10_000): CallerRequest {
  const now = performance.now()
  return {
    requestId: `request-${now}-${body}`,
    className: 'reconciliation',
    organisation: 'guild',
    caller: 'member-7',
    idempotencyKey: 'key-1',
    isIdempotent: false,
    arrivedAt: now,
    deadlineAt: now + deadlineMs,
    method: 'POST',
    path: '/credit',
    headers: [],
    traceparent: undefined,
    body: Buffer.from(body)
  }
}

interface Fixture {
  readonly store: MemoryStore
  readonly service: ClaimService
  readonly writer: ClaimWriter
  runs: number
}

function createEntry (engine: StoreEngine, outcome: Outcome | Promise<Outcome>): Fixture {
  const store = new MemoryStore({ engine })
  const writer = new ClaimWriter({ store, lease: new ClaimLease(store), random: new SeededRandom(1) })
  const inner = { serve: async (): Promise<Outcome> => { fixture.runs++; return outcome } }
  const fixture: Fixture = { store, writer, runs: 0, service: new ClaimService({ store, writer, inner, prefix: 'test' }) }
  return fixture
}

function makeAnswer (bytes: number): Outcome {
  return makeAnswered({ status: 200, headers: [['content-type', 'text/plain']], body: Buffer.alloc(bytes, 'x') })
}

async function waitForOutcome (clock: Clock, outcome: Promise<Outcome>): Promise<Outcome> {
  const ended: Outcome[] = []
  void outcome.then(value => ended.push(value))
  for (;;) {
    if (ended[0] !== undefined) return ended[0]
    await clock.tickAsync(10)
  }
}

test.serial('a repeat through another entry gets the stored answer and does not run', async t => {
  const clock = pauseClock(t)
  const engine = new StoreEngine()
  const first = createEntry(engine, makeAnswer(5))
  const second = createEntry(engine, makeAnswer(9))
  await waitForOutcome(clock, first.service.serve(makeRequest(), createSignal()))
  await clock.tickAsync(3_600_000 * 20)
  const repeat = await waitForOutcome(clock, second.service.serve(makeRequest(), createSignal()))
  t.deepEqual(repeat, { kind: 'answered', isReplayed: true, answer: { status: 200, headers: [['content-type', 'text/plain']], body: Buffer.from('xxxxx') } })
  t.is(second.runs, 0)
})

test.serial('the outcome of a repeat is unknown when the first answer was too large to store, its outcome was unknown or its entry died', async t => {
  const clock = pauseClock(t)
  const ends: Array<[Outcome | Promise<Outcome>, string]> = [
    [makeAnswer(65 * 1024), 'answerNotKept'],
    [makeUnknown('answerLost', ''), 'alreadyClaimed'],
    [new Promise<Outcome>(() => {}), 'alreadyClaimed']
  ]
  for (const [end, reason] of ends) {
    const engine = new StoreEngine()
    void createEntry(engine, end).service.serve(makeRequest(), createSignal())
    await clock.tickAsync(100)
    const second = createEntry(engine, makeAnswer(1))
    const repeat = await waitForOutcome(clock, second.service.serve(makeRequest(), createSignal()))
    t.like(repeat, { kind: 'unknown', reason })
    t.is(second.runs, 0)
  }
})

test.serial('a key can be used again after a request that is known not to have run', async t => {
  const clock = pauseClock(t)
  const engine = new StoreEngine()
  await waitForOutcome(clock, createEntry(engine, makeNotRun('overloaded', '')).service.serve(makeRequest(), createSignal()))
  await clock.tickAsync(100)
  const second = createEntry(engine, makeAnswer(1))
  t.is((await waitForOutcome(clock, second.service.serve(makeRequest(), createSignal()))).kind, 'answered')
  t.is(second.runs, 1)
})

test.serial('a key that is reused with another body is refused', async t => {
  const clock = pauseClock(t)
  const entry = createEntry(new StoreEngine(), makeAnswer(1))
  await waitForOutcome(clock, entry.service.serve(makeRequest(), createSignal()))
  const other = await waitForOutcome(clock, entry.service.serve(makeRequest('credit two hours'), createSignal()))
  t.like(other, { kind: 'notRun', reason: 'keyReused' })
  t.is(entry.runs, 1)
})

test.serial('while the store is unavailable a request waits until its deadline, and then ends with the outcome notRun', async t => {
  const clock = pauseClock(t)
  const entry = createEntry(new StoreEngine(), makeAnswer(1))
  entry.store.faults.isDown = true
  const startedAt = performance.now()
  const outcome = await waitForOutcome(clock, entry.service.serve(makeRequest('x', 3_000), createSignal()))
  t.like(outcome, { kind: 'notRun', reason: 'storeUnavailable', retryAfterMs: 2_000 })
  t.true(performance.now() - startedAt <= 3_010)
  t.is(entry.runs, 0)
  entry.store.faults.isDown = false
  t.is((await waitForOutcome(clock, entry.service.serve(makeRequest('x'), createSignal()))).kind, 'answered')
})

test.serial('a claim whose write was not acknowledged is recognised by its nonce, and the request runs once', async t => {
  const clock = pauseClock(t)
  const entry = createEntry(new StoreEngine(), makeAnswer(1))
  entry.store.faults.loseAnswers = 3
  t.is((await waitForOutcome(clock, entry.service.serve(makeRequest(), createSignal()))).kind, 'answered')
  t.is(entry.runs, 1)
})

test.serial('a claim that takes effect after the deadline is released', async t => {
  const clock = pauseClock(t)
  const entry = createEntry(new StoreEngine(), makeAnswer(1))
  entry.store.faults.delayMs = 500
  t.like(await waitForOutcome(clock, entry.service.serve(makeRequest('x', 600), createSignal())), { kind: 'notRun' })
  await clock.tickAsync(5_000)
  const [row] = entry.store.engine.list('test/claims/')
  t.is(decodeClaim(row?.value ?? '')?.state, ClaimState.released)
  t.is(entry.runs, 0)
})

test.serial('claims submitted together are written in shared store calls, and drain waits until their outcomes are stored', async t => {
  const clock = pauseClock(t)
  const entry = createEntry(new StoreEngine(), makeAnswer(1))
  const requests = Array.from({ length: 40 }, (_, index) => ({ ...makeRequest(), idempotencyKey: `key-${index}` }))
  await waitForOutcome(clock, Promise.all(requests.map(request => entry.service.serve(request, createSignal()))).then(all => all[0] as Outcome))
  const drained = entry.service.drain()
  await clock.tickAsync(100)
  await drained
  t.is(entry.store.counts.writes, 2)
  t.true(entry.store.engine.list('test/claims/').every(row => decodeClaim(row.value)?.state === ClaimState.answered))
})

test.serial('claims expire after 24 to 25 hours', async t => {
  const clock = pauseClock(t)
  const entry = createEntry(new StoreEngine(), makeAnswer(1))
  await waitForOutcome(clock, entry.service.serve(makeRequest(), createSignal()))
  await clock.tickAsync(3_600_000 * 24 - 1_000)
  t.is(entry.store.engine.list('test/claims/').length, 1)
  await clock.tickAsync(3_600_000 + 2_000)
  t.is(entry.store.engine.list('test/claims/').length, 0)
})
