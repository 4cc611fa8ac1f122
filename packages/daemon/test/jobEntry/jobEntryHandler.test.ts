/**
 * What a client is told about a submitted job when the store's answers are lost: a refusal promises that the job never runs.
 */
import { SeededRandom } from '@dragonflylever/core'
import { PolicyIndex } from '@dragonflylever/core/graphs/index'
import { JobEntryHandler } from '@dragonflylever/daemon/jobEntry/jobEntryHandler'
import type { JobEntryAnswer, JobEntryCall } from '@dragonflylever/daemon/jobEntry/jobEntryHandler'
import { JobStates } from '@dragonflylever/daemon/jobEntry/jobStates'
import { NoMetrics, createLogger } from '@dragonflylever/runtime'
import { MemoryStore } from '@dragonflylever/standins'
import FakeTimers from '@sinonjs/fake-timers'
import test from 'ava'
import type { ExecutionContext } from 'ava'

import { KEYS } from '../graphs/graphNode.js'
import { JOB_ID, POLICY, makeSubmission } from './entryFixture.js'

interface Fixture {
  readonly store: MemoryStore
  readonly handler: JobEntryHandler
  /** Submits the job and advances the clock until it is answered. */
  readonly submit: () => Promise<JobEntryAnswer>
  readonly advance: (ms: number) => Promise<unknown>
}

function createFixture (t: ExecutionContext): Fixture {
  const clock = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'performance', 'Date'] })
  t.teardown(() => clock.uninstall())
  const store = new MemoryStore()
  const logger = createLogger({ level: 'silent', processId: 't' })
  const states = new JobStates({ store, keys: KEYS, logger })
  const index = new PolicyIndex(POLICY)
  const handler = new JobEntryHandler({ store, keys: KEYS, states, logger, metrics: new NoMetrics(), random: new SeededRandom(1), getPolicy: () => index })
  return {
    store,
    handler,
    submit: async () => {
      const { call, draft } = makeSubmission()
      const answer = handler.submit(call, draft)
      await clock.tickAsync(3_000)
      return answer
    },
    advance: ms => clock.tickAsync(ms)
  }
}

test.serial('a job that the store never received is refused, which is true', async t => {
  const { store, submit } = createFixture(t)
  store.faults.isDown = true
  t.like(await submit(), { kind: 'refused', reason: 'storeAway' })
})

test.serial('a job whose write was not answered is not refused afterwards, since the store may still carry the write out', async t => {
  const { store, submit, advance } = createFixture(t)
  store.faults.loseAnswers = Infinity
  // The answers of both the write and its retries, which conflict with it, are lost.
  t.is((await submit()).kind, 'undecided')
  store.faults.loseAnswers = 0
  store.faults.isDown = true
  t.is((await submit()).kind, 'undecided')
  store.faults.isDown = false
  t.is((await submit()).kind, 'accepted')
  t.truthy(store.engine.get(KEYS.getSpecKey(JOB_ID)))
  await advance(20_000)
  store.faults.isDown = true
  t.is((await submit()).kind, 'accepted', 'the entry knows the job from the conflict and needs no store')
})

test.serial('a call for a malformed job id is answered without a call to the store', async t => {
  const { store, handler } = createFixture(t)
  for (const id of ['x'.repeat(10_000), '../op/config', '%E0%A4%A', '\u0000']) {
    const call = { host: 'h', path: `/q/${id}`, key: undefined, deadlineAt: performance.now() + 3_000 }
    t.is((await handler.getState(call)).kind, 'noSuchJob')
    t.is((await handler.cancel(call)).kind, 'noSuchJob')
  }
  t.is(store.counts.reads + store.counts.writes, 0)
})

test.serial('a job whose stored state can not be read is not reported as unknown, since it was accepted', async t => {
  const { store, handler } = createFixture(t)
  for (const value of ['', '{', 'null', '{"phase":"dancing"}']) {
    store.engine.put({ key: KEYS.getStateKey(JOB_ID), value, expect: { kind: 'any' } })
    const { call } = makeSubmission()
    t.like(await handler.getState(call), { kind: 'refused', reason: 'unreadable' })
    t.like(await handler.cancel(call), { kind: 'refused', reason: 'unreadable' })
  }
})

test.serial('a job of one organisation is neither shown to another one nor cancelled by it, from memory or from the store', async t => {
  const { store, handler, advance } = createFixture(t)
  const makeCall = (key: string | undefined, id = JOB_ID): JobEntryCall => ({ ...makeSubmission().call, path: `/q/${id}`, key })
  const submitted = handler.submit(makeCall('key-a'), makeSubmission().draft)
  await advance(100)
  t.is((await submitted).kind, 'accepted')
  const stored = store.engine.get(KEYS.getStateKey(JOB_ID))?.value ?? ''
  const other = JOB_ID.replace('a1', 'a2')
  store.engine.put({ key: KEYS.getStateKey(other), value: stored, expect: { kind: 'any' } })
  for (const id of [JOB_ID, other]) {
    t.is((await handler.getState(makeCall('key-b', id))).kind, 'noSuchJob')
    t.is((await handler.cancel(makeCall('key-b', id))).kind, 'noSuchJob')
    t.is(store.engine.get(KEYS.getCancelKey(id)), undefined)
    t.is((await handler.getState(makeCall('key-a', id))).kind, 'state')
    // The queue takes calls without a key, which belong to no organisation.
    t.is((await handler.getState(makeCall(undefined, id))).kind, 'state')
  }
  t.is((await handler.cancel(makeCall('key-a'))).kind, 'accepted')
})
