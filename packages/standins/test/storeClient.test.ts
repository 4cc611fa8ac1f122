/**
 * Store client: call budget, circuit breaker, timeouts, and settling of ambiguous writes.
 */
import { SeededRandom } from '@dragonflylever/core'
import { StoreClient, StoreHealth, putWithRetry } from '@dragonflylever/adapters'
import { MemoryStore } from '@dragonflylever/standins'
import FakeTimers from '@sinonjs/fake-timers'
import type { Clock } from '@sinonjs/fake-timers'
import test from 'ava'
import type { ExecutionContext } from 'ava'

function createClient (rate = 10, burst = 40, options: { readonly maxAnswerAgeMs?: number } = {}): { memory: MemoryStore, client: StoreClient } {
  const memory = new MemoryStore()
  return { memory, client: new StoreClient({ store: memory, random: new SeededRandom(1), ratePerS: rate, burst, callTimeoutMs: 1_000, ...options }) }
}

test.serial('calls over the budget are not sent and are counted as over budget', async t => {
  const { memory, client } = createClient(10, 3)
  for (let index = 0; index < 10; index++) await client.get('k')
  t.is(memory.counts.reads, 3)
  t.is(client.usage.overBudget, 7)
})

test.serial('a flood of claims does not use up the budget of lease renewals and leader writes', async t => {
  const { memory, client } = createClient(10, 40)
  const lease = await client.grantLease(5_000)
  t.is(lease.kind, 'ok')
  for (let index = 0; index < 1_000; index++) await client.put({ key: `claim-${index}`, value: 'v', expect: { kind: 'absent' } })
  t.true(client.usage.overBudget > 0)
  if (lease.kind === 'ok') t.is((await client.renewLease(lease.leaseId)).kind, 'ok')
  t.is((await client.put({ key: 'duty', value: 'me', expect: { kind: 'absent' }, isLeadershipWrite: true })).kind, 'ok')
  t.true(memory.counts.writes < 50)
})

test.serial('an outage opens the circuit, few probes are sent, and the first answer closes the circuit', async t => {
  const clock = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'performance'] })
  t.teardown(() => clock.uninstall())
  const { memory, client } = createClient()
  memory.faults.isDown = true
  for (let index = 0; index < 600; index++) {
    await client.get('k')
    await clock.tickAsync(100)
  }
  t.is(client.health, StoreHealth.down)
  t.true(memory.counts.reads < 40, `sent ${memory.counts.reads}`)
  memory.faults.isDown = false
  await clock.tickAsync(8_000)
  t.is((await client.get('k')).kind, 'ok')
  t.is(client.health, StoreHealth.up)
})

test.serial('a write that times out is ambiguous, and a read that times out is unavailable', async t => {
  const clock = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'performance'] })
  t.teardown(() => clock.uninstall())
  const { memory, client } = createClient()
  memory.faults.delayMs = 5_000
  const write = client.put({ key: 'k', value: 'v', expect: { kind: 'absent' } })
  const read = client.get('k')
  await clock.tickAsync(1_000)
  t.is((await write).kind, 'ambiguous')
  t.is((await read).kind, 'unavailable')
})

test.serial('a write whose answer is lost is settled by its nonce and takes effect once', async t => {
  const { memory, client } = createClient()
  memory.faults.loseAnswers = 1
  const before = memory.engine.revision
  const outcome = await putWithRetry(client, { key: 'k', value: 'nonce-1', expect: { kind: 'absent' } }, stored => stored.value === 'nonce-1')
  t.deepEqual(outcome, { kind: 'ok', modRevision: before + 1 })
  t.is(memory.engine.revision, before + 1)
})

test.serial('after an unanswered call, a write is sent only once the store has answered a read', async t => {
  const clock = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'performance'] })
  t.teardown(() => clock.uninstall())
  const { memory, client } = createClient()
  memory.faults.delayMs = 5_000
  const first = client.put({ key: 'a', value: 'v', expect: { kind: 'absent' } })
  await clock.tickAsync(1_000)
  t.is((await first).kind, 'ambiguous')
  const second = client.put({ key: 'b', value: 'v', expect: { kind: 'absent' } })
  await clock.tickAsync(1_000)
  t.is((await second).kind, 'unavailable')
  t.is(memory.counts.writes, 1)
  memory.faults.delayMs = 0
  await clock.tickAsync(1_000)
  t.is((await client.put({ key: 'b', value: 'v', expect: { kind: 'absent' } })).kind, 'ok')
})

test.serial('while the circuit is open, calls are refused at once, and the client itself finds out when the store is back', async t => {
  const clock = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'performance'] })
  t.teardown(() => clock.uninstall())
  const { memory, client } = createClient()
  memory.faults.delayMs = 5_000
  for (let index = 0; index < 2; index++) {
    const call = client.get('k')
    await clock.tickAsync(1_000)
    t.is((await call).kind, 'unavailable')
  }
  for (let index = 0; index < 50; index++) {
    const startedAt = performance.now()
    t.is((await client.put({ key: 'a', value: 'v', expect: { kind: 'absent' } })).kind, 'unavailable')
    t.is(performance.now(), startedAt)
    await clock.tickAsync(100)
  }
  t.is(memory.counts.writes, 0)
  memory.faults.delayMs = 0
  await clock.tickAsync(8_000)
  t.is(client.health, StoreHealth.up)
  t.is((await client.put({ key: 'a', value: 'v', expect: { kind: 'absent' } })).kind, 'ok')
})

test.serial('a write after a time without answers is preceded by a read, so that a store that fell silent meanwhile leaves no write undecided', async t => {
  const clock = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'performance'] })
  t.teardown(() => clock.uninstall())
  const { memory, client } = createClient(10, 40, { maxAnswerAgeMs: 400 })
  t.is((await client.get('k')).kind, 'ok')
  t.is((await client.put({ key: 'a', value: 'v', expect: { kind: 'absent' } })).kind, 'ok')
  t.is(memory.counts.reads, 1, 'no read precedes a write right after an answer')
  await clock.tickAsync(500)
  memory.faults.delayMs = 5_000
  const write = client.put({ key: 'b', value: 'v', expect: { kind: 'absent' } })
  await clock.tickAsync(1_000)
  t.is((await write).kind, 'unavailable')
  t.is(memory.counts.writes, 1)
})

/** Store client with a store that leaves the calls unanswered that are made while `faults.delayMs` is large, and how long a caller may wait. */
function createWaitingClient (t: ExecutionContext): { readonly clock: Clock, readonly memory: MemoryStore, readonly client: StoreClient } {
  const clock = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'performance'] })
  t.teardown(() => clock.uninstall())
  return { clock, ...createClient(100, 200, { maxAnswerAgeMs: 400 }) }
}

const WAIT = { maxOutageWaitMs: 250, maxReadWaitMs: 900 }
const WRITE = { expect: [], puts: [{ key: 'a', value: 'v' }], removes: [] }

test.serial('calls from before the return of the store that time out after it do not open the circuit again', async t => {
  const { clock, memory, client } = createWaitingClient(t)
  memory.faults.delayMs = 60_000
  for (let count = 0; count < 5; count++) {
    void client.get('k')
    await clock.tickAsync(100)
  }
  memory.faults.delayMs = 0
  client.recordAnswer(10)
  for (let count = 0; count < 12; count++) {
    t.is((await client.get('k')).kind, 'ok')
    t.is(client.outageMs, undefined)
    await clock.tickAsync(100)
  }
})

test.serial('writes that find out whether the store answers share one read', async t => {
  const { clock, memory, client } = createWaitingClient(t)
  memory.faults.delayMs = 200
  const writes = Array.from({ length: 5 }, () => client.transact(WRITE, WAIT))
  await clock.tickAsync(400)
  for (const write of writes) t.is((await write).kind, 'ok')
  t.deepEqual([memory.counts.reads, memory.counts.writes], [1, 5])
})

test.serial('a call waits for the return of the store for a bounded time, goes on as soon as the store answers, and is otherwise never sent', async t => {
  const { clock, memory, client } = createWaitingClient(t)
  memory.faults.delayMs = 60_000
  void client.get('k')
  void client.get('k')
  await clock.tickAsync(1_500)
  const refused = client.transact(WRITE, WAIT)
  await clock.tickAsync(250)
  t.like(await refused, { kind: 'unavailable', outageMs: 1_750 })
  const waiting = client.transact(WRITE, WAIT)
  await clock.tickAsync(100)
  t.is(memory.counts.writes, 0)
  memory.faults.delayMs = 0
  client.recordAnswer(10)
  await clock.tickAsync(0)
  t.is((await waiting).kind, 'ok')
  await clock.tickAsync(60_000)
  t.is(memory.counts.writes, 1)
})

test.serial('a write whose caller stops waiting for the read before it is not sent later', async t => {
  const { clock, memory, client } = createWaitingClient(t)
  memory.faults.delayMs = 950
  const write = client.transact(WRITE, WAIT)
  await clock.tickAsync(900)
  t.is((await write).kind, 'unavailable')
  memory.faults.delayMs = 0
  await clock.tickAsync(10_000)
  t.is(memory.counts.writes, 0)
})
