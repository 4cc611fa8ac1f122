/**
 * How a planner's session follows the operators' requests to evacuate failure domains, and when it may send starts.
 */
import { EvacuationWatcher } from '@dragonflylever/daemon/jobPlanner/evacuationWatcher'
import { NoMetrics, createLogger } from '@dragonflylever/runtime'
import { MemoryStore } from '@dragonflylever/standins'
import FakeTimers from '@sinonjs/fake-timers'
import type { Clock } from '@sinonjs/fake-timers'
import test from 'ava'
import type { ExecutionContext } from 'ava'

const PREFIX = 'evacuate/'
const BOUND_MS = 5_000
/** Half of the bound: older knowledge must not be used for starts. */
const MAX_AGE_MS = 2_500

class GaugeRecorder extends NoMetrics {
  readonly values: number[] = []

  override gauge (_name?: string, value?: number): void {
    this.values.push(value ?? NaN)
  }
}

interface Fixture {
  readonly clock: Clock
  readonly store: MemoryStore
  readonly watcher: EvacuationWatcher
  readonly changes: string[][]
  readonly gauges: readonly number[]
  readonly readLog: () => Array<Record<string, unknown>>
  readonly request: (domain: string) => void
  readonly withdraw: (domain: string) => void
}

function createFixture (t: ExecutionContext): Fixture {
  const clock = FakeTimers.install({ now: 1_700_000_000_000, toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'performance', 'Date'] })
  const store = new MemoryStore()
  const changes: string[][] = []
  const lines: string[] = []
  const metrics = new GaugeRecorder()
  const watcher = new EvacuationWatcher({
    store,
    prefix: PREFIX,
    decodeKey: key => key === PREFIX ? undefined : key.slice(PREFIX.length),
    boundMs: BOUND_MS,
    logger: createLogger({ level: 'info', processId: 'test', destination: { write: line => { lines.push(line) } } }),
    metrics,
    onChange: domains => { changes.push([...domains]) }
  })
  t.teardown(() => {
    watcher.close()
    clock.uninstall()
  })
  return {
    clock,
    store,
    watcher,
    changes,
    gauges: metrics.values,
    readLog: () => lines.map(line => JSON.parse(line) as Record<string, unknown>),
    request: domain => { store.engine.put({ key: PREFIX + domain, value: '{}', expect: { kind: 'any' } }) },
    withdraw: domain => { store.engine.remove(PREFIX + domain, { kind: 'any' }) }
  }
}

test.serial('requests that are stored before the start are loaded before opening ends, also if the store does not answer at first', async t => {
  const { clock, store, watcher, changes, request } = createFixture(t)
  request('d1')
  request('d2')
  store.faults.isDown = true
  let isOpen = false
  void watcher.open().then(() => { isOpen = true })
  await clock.tickAsync(3_000)
  t.false(isOpen)
  t.false(watcher.isFresh)
  store.faults.isDown = false
  await clock.tickAsync(300)
  t.true(isOpen)
  t.true(watcher.isFresh)
  t.deepEqual(changes, [['d1', 'd2']])
})

test.serial('a request, one for a second domain and both withdrawals take effect one by one, with a line for each and the number of domains as a gauge', async t => {
  const { clock, watcher, changes, gauges, request, withdraw, readLog, store } = createFixture(t)
  await watcher.open()
  request('d1')
  await clock.tickAsync(3_000)
  request('d2')
  await clock.tickAsync(3_000)
  withdraw('d1')
  await clock.tickAsync(100)
  withdraw('d2')
  await clock.tickAsync(100)
  t.deepEqual(changes, [['d1'], ['d1', 'd2'], ['d2'], []])
  t.deepEqual(gauges, [1, 2, 1, 0])
  const lines = readLog().filter(({ domain }) => domain !== undefined)
  t.deepEqual(lines.map(({ msg, domain }) => `${String(msg)} ${String(domain)}`), ['evacuation requested d1', 'evacuation in force d1', 'evacuation requested d2', 'evacuation in force d2', 'evacuation withdrawn d1', 'evacuation withdrawn d2'])
  const last = store.engine.revision
  t.deepEqual(lines.map(({ revision }) => revision), [last - 3, last - 3, last - 2, last - 2, last - 1, last])
  t.true(lines.every(({ ageMs }) => typeof ageMs === 'number'))
  // From then on no start that was sent before can be carried out: 2 s of validity and a call of at most 0.5 s.
  t.is(lines[1]?.['ageMs'], 2_500)
})

test.serial('a request that is withdrawn within a second is not logged as in force, and leaves no domain evacuated', async t => {
  const { clock, watcher, changes, request, withdraw, readLog } = createFixture(t)
  await watcher.open()
  request('d1')
  withdraw('d1')
  await clock.tickAsync(500)
  request('d1')
  await clock.tickAsync(500)
  withdraw('d1')
  await clock.tickAsync(9_000)
  t.deepEqual(changes.at(-1), [])
  t.deepEqual(readLog().filter(({ msg }) => msg === 'evacuation in force'), [])
})

test.serial('when the history since the last answer is gone, the requests are listed again: new ones are added, and missing ones count as withdrawn', async t => {
  const { clock, store, watcher, changes, request, withdraw } = createFixture(t)
  await watcher.open()
  request('d1')
  await clock.tickAsync(100)
  store.faults.skipWatchEvents = true
  withdraw('d1')
  request('d2')
  await clock.tickAsync(100)
  store.faults.skipWatchEvents = false
  t.deepEqual(changes, [['d1']])
  store.endWatches()
  await clock.tickAsync(100)
  t.deepEqual(changes, [['d1'], ['d2']])
})

test.serial('the knowledge is fresh until half of the bound after the store last confirmed it, and the gap is logged when it is fresh again', async t => {
  const { clock, store, watcher, readLog } = createFixture(t)
  await watcher.open()
  await clock.tickAsync(10_000)
  t.true(watcher.isFresh)
  store.faults.isDown = true
  const confirmedAgoMs = watcher.ageMs ?? 0
  await clock.tickAsync(MAX_AGE_MS - confirmedAgoMs - 1)
  t.true(watcher.isFresh)
  await clock.tickAsync(1)
  t.false(watcher.isFresh)
  store.faults.isDown = false
  await clock.tickAsync(1_000)
  t.true(watcher.isFresh)
  const [line] = readLog().filter(({ msg }) => msg === 'evacuations are confirmed again after a gap in which no starts were sent')
  t.true(Number(line?.['ageMs']) >= MAX_AGE_MS)
})

test.serial('the knowledge is not fresh after a suspension of the host, during which the monotonic clock stands still', async t => {
  const { clock, watcher } = createFixture(t)
  await watcher.open()
  clock.setSystemTime(Date.now() + MAX_AGE_MS)
  t.false(watcher.isFresh)
  await clock.tickAsync(1_000)
  t.true(watcher.isFresh)
})
