/**
 * Fences that entries leave when a job is cancelled before it is stored: each cancellation of an unknown job would otherwise leave a key in the store for ever.
 */
import { createQueuedJobState } from '@dragonflylever/daemon/jobPlanner/graphKeys'
import { MemoryPeers, MemoryStore } from '@dragonflylever/standins'
import FakeTimers from '@sinonjs/fake-timers'
import test from 'ava'
import type { ExecutionContext } from 'ava'

import { KEYS } from '../graphs/graphNode.js'
import { makeQueue, makeStep } from '../graphs/graphSimulation.js'
import { createCandidate } from './candidateFixture.js'

const FENCE = JSON.stringify({ cancelledBy: ['o'] })
const KEPT_MS = 125_000
const REMOVED_MS = 200_000

interface Fixture {
  readonly store: MemoryStore
  readonly clock: FakeTimers.Clock
  readonly put: (key: string, value: string) => void
  readonly has: (key: string) => boolean
}

async function createFixture (t: ExecutionContext): Promise<Fixture> {
  const clock = FakeTimers.install({ now: 1_700_000_000_000, toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'performance', 'Date'] })
  t.teardown(() => clock.uninstall())
  const store = new MemoryStore()
  const peers = new MemoryPeers()
  const candidate = createCandidate(store, peers, 'a', 'a:1')
  t.teardown(() => { void candidate.close() })
  await candidate.open(peers.open('a:1'))
  await clock.tickAsync(1_000)
  return {
    store,
    clock,
    put: (key, value) => { store.engine.put({ key, value, expect: { kind: 'any' } }) },
    has: key => store.engine.get(key) !== undefined
  }
}

// A fence must outlive late writes and the time for which a cancelled job is shown, and is removed with that job's state.
test.serial('a fence is kept for two minutes after its last change and then removed, with the state of the cancelled job', async t => {
  const { clock, put, has } = await createFixture(t)
  const graph = { id: 'a', organisation: 'o', queue: makeQueue(1), payload: '', steps: [makeStep()], acceptedAt: Date.now() }
  put(KEYS.getFenceKey('a'), FENCE)
  await clock.tickAsync(KEPT_MS)
  put(KEYS.getFenceKey('a'), FENCE)
  put(KEYS.getStateKey('a'), JSON.stringify({ ...createQueuedJobState(graph), phase: 'cancelled' }))
  await clock.tickAsync(KEPT_MS)
  t.true(has(KEYS.getFenceKey('a')) && has(KEYS.getStateKey('a')))
  await clock.tickAsync(REMOVED_MS - KEPT_MS)
  t.false(has(KEYS.getFenceKey('a')) || has(KEYS.getStateKey('a')))
})

// The removal must not take the state of a job that was stored after another organisation had written the fence.
test.serial('the fence of a job that is stored is left until the records of the job are removed', async t => {
  const { clock, put, has } = await createFixture(t)
  const graph = { id: 'a', organisation: 'o', queue: makeQueue(1), payload: '', steps: [makeStep()], acceptedAt: Date.now() }
  put(KEYS.getFenceKey('a'), JSON.stringify({ cancelledBy: ['other'] }))
  put(KEYS.getSpecKey('a'), JSON.stringify(graph))
  put(KEYS.getStateKey('a'), JSON.stringify(createQueuedJobState(graph)))
  await clock.tickAsync(REMOVED_MS)
  t.true(has(KEYS.getStateKey('a')) && has(KEYS.getSpecKey('a')))
  put(KEYS.getCancelKey('a'), '1')
  await clock.tickAsync(2 * REMOVED_MS)
  t.false(has(KEYS.getFenceKey('a')) || has(KEYS.getSpecKey('a')))
  t.true(has(KEYS.getStateKey('a')))
})

// An unanswered removal is repeated, also through an outage.
test.serial('a fence that could not be removed is removed later', async t => {
  const { store, clock, put, has } = await createFixture(t)
  put(KEYS.getFenceKey('a'), FENCE)
  await clock.tickAsync(KEPT_MS)
  store.faults.isDown = true
  await clock.tickAsync(REMOVED_MS)
  t.true(has(KEYS.getFenceKey('a')))
  store.faults.isDown = false
  await clock.tickAsync(REMOVED_MS)
  t.false(has(KEYS.getFenceKey('a')))
})
