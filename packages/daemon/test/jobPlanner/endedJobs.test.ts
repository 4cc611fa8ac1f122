/**
 * Case 2 of the review: ended jobs whose records could not be removed when they expired were listed anew after a watch had lost its history, and ran again.
 */
import type { ListOutcome, TransactOutcome, Transaction } from '@dragonflylever/adapters'
import type { JobGraph } from '@dragonflylever/core/graphs/index'
import { createQueuedJobState } from '@dragonflylever/daemon/jobPlanner/graphKeys'
import { MemoryPeers, MemoryStore } from '@dragonflylever/standins'
import FakeTimers from '@sinonjs/fake-timers'
import test from 'ava'
import type { ExecutionContext } from 'ava'
import fc from 'fast-check'

import { KEYS, TIMES } from '../graphs/graphNode.js'
import { makeQueue, makeStep } from '../graphs/graphSimulation.js'
import { createCandidate } from './candidateFixture.js'

const NOW = 1_700_000_000_000
const JOBS = ['a', 'b', 'c']
const PHASES = ['completed', 'failed', 'cancelled'] as const

const HOUR_MS = 3_600_000
/** Below the timeout of a store call of the fixture, 1,100 ms. */
const SLOW_LIST_MS = 1_000

/** A store that answers list calls late, with the values of the time at which they were called, or rejects the removal of jobs' records. */
class FaultyStore extends MemoryStore {
  listDelayMs = 0
  isRejectingRemovals = false

  override async list (prefix: string): Promise<ListOutcome> {
    const listed = await super.list(prefix)
    if (this.listDelayMs > 0) await new Promise(resolve => setTimeout(resolve, this.listDelayMs))
    return listed
  }

  override async transact (transaction: Transaction): Promise<TransactOutcome> {
    if (this.isRejectingRemovals && transaction.removes.some(key => key.startsWith(KEYS.inputPrefix))) return { kind: 'unavailable', message: 'rejected' }
    return super.transact(transaction)
  }
}

function installClock (t: ExecutionContext): FakeTimers.Clock {
  const clock = FakeTimers.install({ now: NOW, toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'performance', 'Date'] })
  t.teardown(() => clock.uninstall())
  return clock
}

/** Stores a job as a planner leaves it when it has ended. */
function putEndedJob (store: MemoryStore, id: string, phase: typeof PHASES[number], ageMs = TIMES.retentionMs): void {
  const graph: JobGraph = { id, organisation: 'o', queue: makeQueue(1), payload: '', steps: [makeStep()], acceptedAt: NOW - ageMs }
  const put = (key: string, value: object): unknown => store.engine.put({ key, value: JSON.stringify(value), expect: { kind: 'any' } })
  put(KEYS.getSpecKey(id), graph)
  put(KEYS.getStateKey(id), { ...createQueuedJobState(graph), phase })
  put(KEYS.getProgressKey(id), { phase, endedAt: NOW - TIMES.retentionMs, steps: { '0.0': { failures: 0, failedRun: 0, tasks: [[1, 0, 1, '', [], []]] } } })
}

const fault = fc.record({ atMs: fc.integer({ min: -20_000, max: 20_000 }), downMs: fc.integer({ min: 0, max: 15_000 }), losesHistory: fc.boolean() })

test.serial('ended jobs whose records outlive an outage and are listed again do not run again, and their records are removed in the end', async t => {
  const clock = installClock(t)
  await fc.assert(fc.asyncProperty(fc.array(fault, { minLength: 1, maxLength: 4 }), fc.constantFrom(...PHASES), async (faults, phase) => {
    clock.setSystemTime(NOW)
    const store = new MemoryStore()
    for (const id of JOBS) putEndedJob(store, id, phase)
    const peers = new MemoryPeers()
    const candidate = createCandidate(store, peers, 'a', 'a:1')
    await candidate.open(peers.open('a:1'))
    await clock.tickAsync(1_000)
    // A planner that was elected after an outage keeps the jobs for the retention time once more.
    const endAt = 2 * TIMES.retentionMs + 60_000
    for (let elapsedMs = 1_000; elapsedMs < endAt; elapsedMs += 500) {
      const active = faults.filter(({ atMs, downMs }) => elapsedMs >= TIMES.retentionMs + atMs && elapsedMs < TIMES.retentionMs + atMs + downMs)
      store.faults.isDown = active.length > 0
      if (active.some(({ losesHistory }) => losesHistory)) store.endWatches()
      await clock.tickAsync(500)
      t.is(candidate.session?.planner.activeCount ?? 0, 0)
    }
    t.deepEqual(store.engine.list(KEYS.inputPrefix), [])
    t.deepEqual(store.engine.list(KEYS.progress), [])
    void candidate.close()
    await clock.tickAsync(2_000)
  }), { seed: 31, numRuns: 12, endOnFailure: true })
})

test.serial('records of ended jobs that could not be removed are removed later without another list, and the state of a job outlives its records', async t => {
  const clock = installClock(t)
  const store = new FaultyStore()
  for (const id of JOBS) putEndedJob(store, id, 'completed', 2 * HOUR_MS)
  const peers = new MemoryPeers()
  const candidate = createCandidate(store, peers, 'a', 'a:1')
  await candidate.open(peers.open('a:1'))
  await clock.tickAsync(TIMES.retentionMs - 10_000)
  t.is(store.engine.list(KEYS.inputPrefix).length, JOBS.length)
  store.isRejectingRemovals = true
  await clock.tickAsync(40_000)
  t.is(store.engine.list(KEYS.inputPrefix).length, JOBS.length)
  t.is(store.engine.list(KEYS.states).length, JOBS.length)
  store.isRejectingRemovals = false
  for (let elapsedMs = 0; elapsedMs < 90_000; elapsedMs += 500) {
    await clock.tickAsync(500)
    t.true(store.engine.list(KEYS.states).length >= store.engine.list(KEYS.inputPrefix).length)
  }
  t.deepEqual(store.engine.list(KEYS.inputPrefix), [])
  t.deepEqual(store.engine.list(KEYS.progress), [])
  t.deepEqual(store.engine.list(KEYS.states), [], 'the jobs were accepted over an hour ago')
  void candidate.close()
  await clock.tickAsync(2_000)
})

test.serial('a list that was read before the records and the state of an ended job were removed, and arrives afterwards, does not start the job again', async t => {
  const clock = installClock(t)
  const store = new FaultyStore()
  // Accepted over an hour ago, so that the state may be removed as soon as the records are.
  putEndedJob(store, 'a', 'completed', 2 * HOUR_MS)
  const peers = new MemoryPeers()
  const candidate = createCandidate(store, peers, 'a', 'a:1')
  await candidate.open(peers.open('a:1'))
  await clock.tickAsync(TIMES.retentionMs - 2_000)
  t.is(store.engine.list(KEYS.inputPrefix).length, 1)
  store.listDelayMs = SLOW_LIST_MS
  for (let elapsedMs = 0; elapsedMs < 30_000; elapsedMs += 100) {
    store.endWatches()
    await clock.tickAsync(100)
    t.is(candidate.session?.planner.getJob('a')?.phase ?? 'completed', 'completed')
  }
  t.deepEqual(store.engine.list(KEYS.inputPrefix), [])
  void candidate.close()
  await clock.tickAsync(25_000)
})
