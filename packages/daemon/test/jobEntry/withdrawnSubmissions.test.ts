/**
 * Case 7 of the review: a job was cancelled while the store still held an unanswered write of it. The cancellation was answered with "no such job", the write was carried out late, and the job ran.
 */
import type { TransactOutcome, Transaction } from '@dragonflylever/adapters'
import { SeededRandom } from '@dragonflylever/core'
import { PolicyIndex } from '@dragonflylever/core/graphs/index'
import { JobEntryHandler } from '@dragonflylever/daemon/jobEntry/jobEntryHandler'
import type { JobEntryAnswer } from '@dragonflylever/daemon/jobEntry/jobEntryHandler'
import { JobStates } from '@dragonflylever/daemon/jobEntry/jobStates'
import { decodeJobState } from '@dragonflylever/daemon/jobPlanner/graphKeys'
import { NoMetrics, createLogger } from '@dragonflylever/runtime'
import { MemoryStore } from '@dragonflylever/standins'
import FakeTimers from '@sinonjs/fake-timers'
import test from 'ava'
import type { ExecutionContext } from 'ava'
import fc from 'fast-check'

import { KEYS } from '../graphs/graphNode.js'
import { JOB_ID, POLICY, makeSubmission } from './entryFixture.js'
import { FatefulStore, fate } from './fatefulStore.js'

const LATE_MS = 5_500
const SETTLED_MS = 30_000

function installClock (t: ExecutionContext): FakeTimers.Clock {
  const clock = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'performance', 'Date'] })
  t.teardown(() => clock.uninstall())
  return clock
}

function createEntry (store: MemoryStore): JobEntryHandler {
  const logger = createLogger({ level: 'silent', processId: 't' })
  const index = new PolicyIndex(POLICY)
  return new JobEntryHandler({ store, keys: KEYS, states: new JobStates({ store, keys: KEYS, logger }), logger, metrics: new NoMetrics(), random: new SeededRandom(1), getPolicy: () => index })
}

/** Submits the job, or cancels or shows it, with the given key. */
function callEntry (entry: JobEntryHandler, kind: 'submit' | 'cancel' | 'getState', key?: string): Promise<JobEntryAnswer> {
  const { call, draft } = makeSubmission()
  const keyed = { ...call, key }
  return kind === 'submit' ? entry.submit(keyed, draft) : entry[kind](keyed)
}

/** True if a planner that reads the store would run the job. */
function isRunnable (store: MemoryStore): boolean {
  return store.engine.get(KEYS.getSpecKey(JOB_ID)) !== undefined && store.engine.get(KEYS.getCancelKey(JOB_ID)) === undefined
}

/** A store that carries out the writes of the job late, without an answer, until a time on the monotonic clock; a lost answer is noticed after 1 s. */
class LossyStore extends MemoryStore {
  losesUntil = -Infinity
  lost = 0

  override async transact (transaction: Transaction): Promise<TransactOutcome> {
    if (performance.now() > this.losesUntil) return super.transact(transaction)
    this.lost++
    setTimeout(() => { this.engine.transact(transaction) }, LATE_MS)
    await new Promise(resolve => setTimeout(resolve, 1_000))
    return { kind: 'ambiguous', message: 'the answer was lost' }
  }
}

/** A store that carries out the submissions of the job late, without an answer, while `isLosing` is true. */
class LateStore extends MemoryStore {
  isLosing = true

  override async transact (transaction: Transaction): Promise<TransactOutcome> {
    if (!this.isLosing || !transaction.puts.some(({ key }) => key === KEYS.getSpecKey(JOB_ID))) return super.transact(transaction)
    setTimeout(() => { this.engine.transact(transaction) }, LATE_MS)
    return { kind: 'ambiguous', message: 'the answer was lost' }
  }
}

interface Fixture {
  readonly clock: FakeTimers.Clock
  readonly store: LateStore
  readonly entries: readonly [JobEntryHandler, JobEntryHandler]
  /** Makes a call and advances the clock until it is answered. */
  readonly call: (...args: Parameters<typeof callEntry>) => Promise<JobEntryAnswer>
}

/** Creates two entries, of which the first has left a submission of the job undecided. */
async function createFixture (t: ExecutionContext, key?: string): Promise<Fixture> {
  const clock = installClock(t)
  const store = new LateStore()
  const entries = [createEntry(store), createEntry(store)] as const
  const call = async (...args: Parameters<typeof callEntry>): Promise<JobEntryAnswer> => {
    const answer = callEntry(...args)
    await clock.tickAsync(1_000)
    return answer
  }
  t.is((await call(entries[0], 'submit', key)).kind, 'undecided')
  store.isLosing = false
  return { clock, store, entries, call }
}

for (const [index, name] of ['the entry that submitted it', 'another entry'].entries()) {
  // UNASKED: the cancellation was answered with "no such job", and the job ran seconds later.
  test.serial(`a job that is cancelled at ${name} while its write is undecided is not stored afterwards`, async t => {
    const { clock, store, entries: { [index]: entry }, call } = await createFixture(t)
    if (entry === undefined) return t.fail('there are two entries')
    t.is((await call(entry, 'cancel')).kind, 'noSuchJob')
    await clock.tickAsync(SETTLED_MS)
    t.false(isRunnable(store))
    t.is((await call(entry, 'getState')).kind, 'noSuchJob')
  })
}

// Review case 7: the writes of the cancellation are lost too. The attempts before took so long that none was made after the store answered again.
test.serial('a cancellation is decided by its deadline if the store answers again 0.4 s before it', async t => {
  const clock = installClock(t)
  for (let leftMs = 400; leftMs <= 2_800; leftMs += 200) {
    const store = new LossyStore()
    const entry = createEntry(store)
    store.losesUntil = performance.now() + 60_000
    const submitted = callEntry(entry, 'submit')
    await clock.tickAsync(2_000)
    t.is((await submitted).kind, 'undecided')
    const lost = store.lost
    store.losesUntil = performance.now() + 2_850 - leftMs
    const cancelled = callEntry(entry, 'cancel')
    await clock.tickAsync(3_000)
    t.is((await cancelled).kind, 'noSuchJob', `${leftMs} ms`)
    t.true(store.lost - lost <= 4, 'few writes are lost')
    await clock.tickAsync(SETTLED_MS)
    t.false(isRunnable(store))
  }
})

// UNASKED: a repeated submission of a job that was cancelled before it was stored must not run either, as it remains one job.
test.serial('a job that is submitted again after it was cancelled unstored is accepted as cancelled', async t => {
  const { clock, store, entries: [first, second], call } = await createFixture(t)
  t.is((await call(second, 'cancel')).kind, 'noSuchJob')
  for (const entry of [first, second]) {
    t.is((await call(entry, 'submit')).kind, 'accepted')
    t.deepEqual(await call(entry, 'getState'), { kind: 'state', phase: 'cancelled' })
    t.is((await call(entry, 'cancel')).kind, 'accepted')
  }
  await clock.tickAsync(SETTLED_MS)
  t.false(isRunnable(store))
})

// An organisation must not be able to cancel the job of another one that is not stored yet.
test.serial('a cancellation by another organisation leaves an unstored job alone', async t => {
  const { store, entries: [first, second], call } = await createFixture(t, 'key-a')
  t.is((await call(second, 'cancel', 'key-b')).kind, 'noSuchJob')
  t.is((await call(first, 'submit', 'key-a')).kind, 'accepted')
  t.true(isRunnable(store))
  t.is((await call(second, 'cancel', 'key-b')).kind, 'noSuchJob')
  t.true(isRunnable(store))
  t.is((await call(second, 'cancel', 'key-a')).kind, 'accepted')
  t.false(isRunnable(store))
})

// A client that is told "no such job" must be able to rely on it, which the entry knows to be unsure.
test.serial('a job whose write is undecided is not reported as unknown by the entry that submitted it', async t => {
  const { entries: [first], call } = await createFixture(t)
  t.is((await call(first, 'getState')).kind, 'undecided')
  t.is((await call(first, 'cancel')).kind, 'noSuchJob')
  t.is((await call(first, 'getState')).kind, 'noSuchJob')
})

// Each cancellation of an unknown job costs a write; clients that send many of them must not keep others from submitting jobs.
test.serial('cancellations of many unknown jobs are refused beyond a rate', async t => {
  const clock = installClock(t)
  const store = new MemoryStore()
  const entry = createEntry(store)
  const answers: JobEntryAnswer[] = []
  for (let number = 0; number < 100; number++) {
    const path = `/q/${number.toString(16).padStart(16, '0')}`
    answers.push(await entry.cancel({ ...makeSubmission().call, path }))
  }
  const unknown = answers.filter(({ kind }) => kind === 'noSuchJob')
  t.true(unknown.length >= 10 && unknown.length <= 30)
  t.true(answers.every(answer => answer.kind === 'noSuchJob' || (answer.kind === 'refused' && answer.reason === 'overloaded' && answer.retryAfterMs > 0)))
  await clock.tickAsync(SETTLED_MS)
  t.is((await entry.cancel(makeSubmission().call)).kind, 'noSuchJob')
})

// REFUSED: after a 504 of one entry, another one that could not reach the store refused the job, which promises that it never runs, and the first entry's write was carried out late.
test.serial('a job whose write is undecided is not stored late after another entry has refused it', async t => {
  const { clock, store, entries: [first, second], call } = await createFixture(t)
  store.faults.isDown = true
  t.like(await call(second, 'submit'), { kind: 'refused', reason: 'storeAway' })
  store.faults.isDown = false
  await clock.tickAsync(SETTLED_MS)
  t.false(isRunnable(store))
  t.is((await call(first, 'getState')).kind, 'noSuchJob')
  // The refusal holds for the submissions before it; the client may hand the job in again.
  t.is((await call(second, 'submit')).kind, 'accepted')
  t.true(isRunnable(store))
})

// Settling must not take the place of a submission that was carried out.
test.serial('a job whose write was carried out and not answered is known to its entry soon after', async t => {
  const clock = installClock(t)
  const store = new MemoryStore()
  const entry = createEntry(store)
  store.faults.loseAnswers = Infinity
  const submitted = callEntry(entry, 'submit')
  await clock.tickAsync(1_000)
  t.is((await submitted).kind, 'undecided')
  store.faults.loseAnswers = 0
  await clock.tickAsync(1_000)
  store.faults.isDown = true
  t.deepEqual(await callEntry(entry, 'getState'), { kind: 'state', phase: 'queued' })
  t.true(isRunnable(store))
})

// A client with a short deadline must not be told that its job is undecided while the store answers at once.
test.serial('a job with hardly any time until its deadline is accepted by a store that answers', async t => {
  const clock = installClock(t)
  const entry = createEntry(new FatefulStore([{ kind: 'served', answerMs: 5, lateMs: 0 }]))
  const { call, draft } = makeSubmission()
  const submitted = entry.submit({ ...call, deadlineAt: performance.now() + 100 }, draft)
  await clock.tickAsync(50)
  t.is((await submitted).kind, 'accepted')
})

// Settling many undecided jobs must leave room for cancellations.
test.serial('an unknown job can be cancelled while many undecided submissions are being settled', async t => {
  const clock = installClock(t)
  const store = new LateStore()
  const entry = createEntry(store)
  store.faults.loseAnswers = Infinity
  for (let number = 0; number < 60; number++) void entry.submit({ ...makeSubmission().call, path: `/q/${number.toString(16).padStart(16, '0')}` }, makeSubmission().draft)
  await clock.tickAsync(6_000)
  store.faults.loseAnswers = 0
  const cancelled = callEntry(entry, 'cancel')
  await clock.tickAsync(1_000)
  t.is((await cancelled).kind, 'noSuchJob')
})

const step = fc.record({ kind: fc.constantFrom('submit', 'submit', 'cancel', 'getState'), entry: fc.integer({ min: 0, max: 1 }), pauseMs: fc.integer({ min: 1, max: 2_000 }) })

// The general form: drawn calls at two entries, and drawn fates of their writes.
test.serial('a job never runs after the answer to its cancellation, whichever entries were called and whatever became of their writes', async t => {
  const clock = installClock(t)
  await fc.assert(fc.asyncProperty(fc.array(fate, { minLength: 1, maxLength: 10 }), fc.array(step, { minLength: 2, maxLength: 8 }), async (fates, steps) => {
    const store = new FatefulStore(fates)
    const entries = [createEntry(store), createEntry(store)]
    let isCancelled = false
    for (const { kind, entry, pauseMs } of steps) {
      const handler = entries[entry]
      if (handler === undefined) continue
      void callEntry(handler, kind).then(answer => {
        if (kind === 'cancel' && (answer.kind === 'noSuchJob' || answer.kind === 'accepted')) isCancelled = true
        if (kind === 'submit' && answer.kind === 'accepted') t.not(decodeJobState(store.engine.get(KEYS.getStateKey(JOB_ID))?.value ?? ''), undefined)
      })
      await clock.tickAsync(pauseMs)
    }
    await clock.tickAsync(SETTLED_MS)
    if (isCancelled) t.false(isRunnable(store))
  }), { seed: 45, numRuns: 2_000, endOnFailure: true })
})
