/**
 * How a process follows changes of the declarations in the store.
 */
import { PolicyWatcher } from '@dragonflylever/daemon/jobEntry/policyWatcher'
import type { FleetPolicy, RoutedQueue } from '@dragonflylever/core/graphs/index'
import { NoMetrics, createLogger } from '@dragonflylever/runtime'
import { MemoryStore } from '@dragonflylever/standins'
import test from 'ava'

const LIMITS = { maxBodyBytes: 1, maxHeaderBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }
const QUEUE: RoutedQueue = { name: 'q', service: 's', priority: 1, maxAttempts: 1, stretch: 1, targetLatencyMs: 0, host: 'h', prefix: '/', isOpen: false }

function decode (text: string): FleetPolicy | undefined {
  const version = Number(text)
  return Number.isNaN(version) ? undefined : { version, queues: [], organisations: [], limits: LIMITS }
}

function createWatcher (store: MemoryStore): PolicyWatcher {
  return new PolicyWatcher({ store, key: 'c', decode, logger: createLogger({ level: 'silent', processId: 't' }), metrics: new NoMetrics(), applyMs: 3_000 })
}

test('the version in force never decreases, and unreadable declarations are ignored', async t => {
  const store = new MemoryStore()
  const watcher = createWatcher(store)
  await watcher.open()
  t.teardown(() => watcher.close())
  for (const [value, expected] of [['5', 5], ['x', 5], ['4', 5], ['9', 9]] as const) {
    await store.put({ key: 'c', value, expect: { kind: 'any' } })
    await new Promise(resolve => setTimeout(resolve, 5))
    t.is(watcher.index?.policy.version, expected)
  }
})

test('a watcher that is reopened after close loads the declarations that were stored in the meantime', async t => {
  const store = new MemoryStore()
  await store.put({ key: 'c', value: '1', expect: { kind: 'any' } })
  const watcher = createWatcher(store)
  await watcher.open()
  watcher.close()
  await store.put({ key: 'c', value: '2', expect: { kind: 'any' } })
  t.is(watcher.index?.policy.version, 1)
  await watcher.open()
  t.teardown(() => watcher.close())
  t.is(watcher.index?.policy.version, 2)
})

test('a process that restarts knows no key until it has read the declarations, and then none that was withdrawn before', async t => {
  const store = new MemoryStore()
  const decodeKeys = (text: string): FleetPolicy => {
    const { version, keys } = JSON.parse(text) as { version: number, keys: string[] }
    return { version, queues: [QUEUE], organisations: [{ name: 'o', keys, guaranteedAccelerators: 0 }], limits: LIMITS }
  }
  const createProcess = (): PolicyWatcher => new PolicyWatcher({ store, key: 'c', decode: decodeKeys, logger: createLogger({ level: 'silent', processId: 't' }), metrics: new NoMetrics(), applyMs: 3_000 })
  await store.put({ key: 'c', value: JSON.stringify({ version: 1, keys: ['old', 'new'] }), expect: { kind: 'any' } })
  const first = createProcess()
  await first.open()
  t.is(first.index?.checkKey(QUEUE, 'old').kind, 'organisation')
  await store.put({ key: 'c', value: JSON.stringify({ version: 2, keys: ['new'] }), expect: { kind: 'any' } })
  first.close()
  store.faults.isDown = true
  const second = createProcess()
  t.teardown(() => second.close())
  await second.open()
  t.is(second.index, undefined)
  store.faults.isDown = false
  await new Promise(resolve => setTimeout(resolve, 600))
  t.is(second.index?.checkKey(QUEUE, 'old').kind, 'unknown')
  t.is(second.index?.checkKey(QUEUE, 'new').kind, 'organisation')
})

test('the age of the declarations is unknown while they are not watched, so that reopening is not logged as a gap', async t => {
  const store = new MemoryStore()
  const watcher = createWatcher(store)
  t.is(watcher.ageMs, undefined)
  await watcher.open()
  t.is(typeof watcher.ageMs, 'number')
  watcher.close()
  t.is(watcher.ageMs, undefined)
})
