/**
 * The admission forecast on its way from the planner to the entries: written only while something would be refused, at most once a second and by the leader alone, and
 * in force at an entry only while it is renewed.
 */
import type { AdmissionForecast } from '@dragonflylever/core/graphs/index'
import { AdmissionWatcher } from '@dragonflylever/daemon/jobEntry/admissionWatcher'
import { AdmissionPublisher } from '@dragonflylever/daemon/jobPlanner/admissionPublisher'
import { encodeAdmissionRecord } from '@dragonflylever/daemon/shared/admissionRecord'
import { createLogger } from '@dragonflylever/runtime'
import { MemoryStore } from '@dragonflylever/standins'
import FakeTimers from '@sinonjs/fake-timers'
import type { Clock } from '@sinonjs/fake-timers'
import test from 'ava'
import type { ExecutionContext } from 'ava'

import { KEYS } from '../graphs/graphNode.js'

const LEADER_KEY = 'leader'
const LOGGER = createLogger({ level: 'silent', processId: 't' })
const NONE: AdmissionForecast = { shapes: [], organisations: {} }
const SOME: AdmissionForecast = {
  shapes: [{ queue: 'q', tasks: 1, cpuMillis: 1, memoryMb: 1, accelerators: 1, chainMs: 1_000, coreSeconds: 1, runTimeScale: 1, optimisticMs: 9_000, expectedMs: Infinity }],
  organisations: { q: ['a', 'b'] }
}

interface Fixture {
  readonly clock: Clock
  readonly store: MemoryStore
  readonly watcher: AdmissionWatcher
  /** The forecast that the planner would publish now. */
  readonly planned: { forecast: AdmissionForecast }
  /** Makes a planner the leader and starts to publish. */
  readonly startPlanner: () => AdmissionPublisher
}

async function createFixture (t: ExecutionContext): Promise<Fixture> {
  const clock = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'performance', 'Date'] })
  const store = new MemoryStore()
  const planned = { forecast: NONE }
  const watcher = new AdmissionWatcher({ store, keys: KEYS, logger: LOGGER })
  const publishers: AdmissionPublisher[] = []
  const startPlanner = (): AdmissionPublisher => {
    const put = store.engine.put({ key: LEADER_KEY, value: '', expect: { kind: 'any' } })
    const publisher = new AdmissionPublisher({ store, keys: KEYS, leaderKey: LEADER_KEY, epoch: put.kind === 'ok' ? put.modRevision : 0, logger: LOGGER, createForecast: () => planned.forecast })
    publishers.push(publisher)
    return publisher
  }
  t.teardown(() => {
    for (const publisher of publishers) publisher.close()
    watcher.close()
    clock.uninstall()
  })
  await watcher.open()
  return { clock, store, watcher, planned, startPlanner }
}

test.serial('while nothing would be refused, the planner writes nothing after it has removed what an earlier one left', async t => {
  const { clock, store, watcher, startPlanner } = await createFixture(t)
  store.engine.put({ key: KEYS.admission, value: encodeAdmissionRecord({ epoch: 1, forecast: SOME }), expect: { kind: 'any' } })
  startPlanner()
  await clock.tickAsync(60_000)
  t.is(store.engine.get(KEYS.admission), undefined)
  t.is(store.counts.writes, 1)
  t.is(watcher.forecast, undefined)
})

test.serial('a forecast is written once a second, is in force from the second time on, and is removed when nothing would be refused any more', async t => {
  const { clock, store, watcher, planned, startPlanner } = await createFixture(t)
  startPlanner()
  planned.forecast = SOME
  await clock.tickAsync(1_100)
  t.is(watcher.forecast, undefined)
  await clock.tickAsync(1_000)
  t.like(watcher.forecast?.shapes[0], { queue: 'q', optimisticMs: 9_000 })
  await clock.tickAsync(8_000)
  t.is(store.counts.writes, 10)
  planned.forecast = NONE
  await clock.tickAsync(1_000)
  t.is(watcher.forecast, undefined)
  t.is(store.engine.get(KEYS.admission), undefined)
})

test.serial('a forecast that is not renewed for 3 s is ignored, and so is the first one of another planner', async t => {
  const { clock, watcher, planned, startPlanner } = await createFixture(t)
  const first = startPlanner()
  planned.forecast = SOME
  await clock.tickAsync(2_100)
  t.truthy(watcher.forecast)
  first.close()
  await clock.tickAsync(3_100)
  t.is(watcher.forecast, undefined)
  startPlanner()
  await clock.tickAsync(1_100)
  t.is(watcher.forecast, undefined)
  await clock.tickAsync(1_000)
  t.truthy(watcher.forecast)
})

test.serial('a process that is no longer the leader changes nothing', async t => {
  const { clock, store, planned, startPlanner } = await createFixture(t)
  startPlanner()
  planned.forecast = SOME
  store.engine.put({ key: LEADER_KEY, value: 'other', expect: { kind: 'any' } })
  await clock.tickAsync(5_000)
  t.is(store.engine.get(KEYS.admission), undefined)
})

test.serial('a listed record, whose age is unknown, and one that can not be read are ignored', async t => {
  const { clock, store, watcher } = await createFixture(t)
  for (const value of ['{', 'null', '{"version":2}', encodeAdmissionRecord({ epoch: 1, forecast: SOME }).replace('"tasks":1', '"tasks":"1"')]) {
    store.engine.put({ key: KEYS.admission, value: encodeAdmissionRecord({ epoch: 1, forecast: SOME }), expect: { kind: 'any' } })
    await clock.tickAsync(500)
    store.engine.put({ key: KEYS.admission, value, expect: { kind: 'any' } })
    await clock.tickAsync(500)
    t.is(watcher.forecast, undefined, value)
  }
  store.engine.put({ key: KEYS.admission, value: encodeAdmissionRecord({ epoch: 1, forecast: SOME }), expect: { kind: 'any' } })
  const late = new AdmissionWatcher({ store, keys: KEYS, logger: LOGGER })
  await late.open()
  t.teardown(() => late.close())
  await clock.tickAsync(100)
  t.is(late.forecast, undefined)
})
