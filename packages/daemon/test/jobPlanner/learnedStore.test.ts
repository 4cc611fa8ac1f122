/**
 * What a planner has learned outlasts a change of planner; nothing waits for it, and no record is lost that could not be read.
 */
import type { LearnedRecord } from '@dragonflylever/core/graphs/index'
import { decodeLearned, encodeLearned } from '@dragonflylever/daemon/jobPlanner/learnedRecord'
import { RunMethods } from '@dragonflylever/protocol'
import { MemoryPeers, MemoryStore } from '@dragonflylever/standins'
import FakeTimers from '@sinonjs/fake-timers'
import type { Clock } from '@sinonjs/fake-timers'
import test from 'ava'
import type { ExecutionContext } from 'ava'

import { KEYS } from '../graphs/graphNode.js'
import { createCandidate } from './candidateFixture.js'
import { makeLearned } from './learnedFixture.js'

const LEARNED = makeLearned(6, 2)

/** Waits by the paused clock. */
async function waitFor (ms: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, ms))
}

function pauseClock (t: ExecutionContext): Clock {
  const clock = FakeTimers.install({ now: 1_700_000_000_000, toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'performance', 'Date'] })
  t.teardown(() => clock.uninstall())
  return clock
}

/** Starts a planner on the store, with a name and address of its own. */
async function startPlanner (clock: Clock, store: MemoryStore, peers: MemoryPeers, name: string): Promise<ReturnType<typeof createCandidate>> {
  const candidate = createCandidate(store, peers, name, `${name}:1`)
  await candidate.open(peers.open(`${name}:1`))
  await clock.tickAsync(1_000)
  return candidate
}

async function putRecord (store: MemoryStore, value: string): Promise<void> {
  await store.put({ key: KEYS.learned, value, expect: { kind: 'any' } })
}

function readRecord (store: MemoryStore): string | undefined {
  return store.engine.get(KEYS.learned)?.value
}

/** Returns what a planner knows, as it would be stored. */
function encodeKnown (candidate: ReturnType<typeof createCandidate>): string {
  const learned = candidate.session?.planner.encodeLearned(performance.now())
  return learned === undefined ? 'no planner' : encodeLearned(learned)
}

async function endPlanner (clock: Clock, candidate: ReturnType<typeof createCandidate>): Promise<void> {
  void candidate.close()
  await clock.tickAsync(3_000)
}

test.serial('what a planner has learned is known to the next one', async t => {
  const clock = pauseClock(t)
  const [store, peers] = [new MemoryStore(), new MemoryPeers()]
  const first = await startPlanner(clock, store, peers, 'a')
  first.session?.planner.restoreLearned(LEARNED, performance.now())
  await clock.tickAsync(11_000)
  await endPlanner(clock, first)
  const next = await startPlanner(clock, store, peers, 'b')
  t.is(encodeKnown(next), encodeLearned(LEARNED))
  t.true(next.session?.planner.speeds.hasDifferences)
  t.true(Math.abs((next.session?.planner.speeds.getFactor('worker-zone-2-2', performance.now()) ?? 0) - 1.6) < 0.02)
  await endPlanner(clock, next)
})

test.serial('a planner that knows nothing writes no record, and a record that has not changed is not written again', async t => {
  const clock = pauseClock(t)
  const [store, peers] = [new MemoryStore(), new MemoryPeers()]
  const planner = await startPlanner(clock, store, peers, 'a')
  await clock.tickAsync(30_000)
  t.is(readRecord(store), undefined)
  planner.session?.planner.restoreLearned(LEARNED, performance.now())
  await clock.tickAsync(11_000)
  const revision = store.engine.get(KEYS.learned)?.modRevision
  t.truthy(revision)
  await clock.tickAsync(60_000)
  t.is(store.engine.get(KEYS.learned)?.modRevision, revision)
  await endPlanner(clock, planner)
})

test.serial('an unreadable record means the defaults, and is replaced', async t => {
  const clock = pauseClock(t)
  const [store, peers] = [new MemoryStore(), new MemoryPeers()]
  await putRecord(store, '{"version":1,"workers":')
  const planner = await startPlanner(clock, store, peers, 'a')
  t.false(planner.session?.planner.speeds.hasDifferences)
  planner.session?.planner.restoreLearned(LEARNED, performance.now())
  await clock.tickAsync(11_000)
  t.is(readRecord(store), encodeLearned(LEARNED))
  await endPlanner(clock, planner)
})

test.serial('the record of a later build means the defaults, and is left alone', async t => {
  const clock = pauseClock(t)
  const [store, peers] = [new MemoryStore(), new MemoryPeers()]
  await putRecord(store, '{"version":2}')
  const planner = await startPlanner(clock, store, peers, 'a')
  t.false(planner.session?.planner.speeds.hasDifferences)
  planner.session?.planner.restoreLearned(LEARNED, performance.now())
  await clock.tickAsync(61_000)
  t.is(readRecord(store), '{"version":2}')
  await endPlanner(clock, planner)
})

test.serial('while the record can not be read, the planner works without it and does not replace it; it is taken over later', async t => {
  const clock = pauseClock(t)
  const [store, peers] = [new MemoryStore(), new MemoryPeers()]
  await putRecord(store, encodeLearned(LEARNED))
  const get = store.get.bind(store)
  let isSilent = true
  store.get = async key => {
    if (!isSilent || key !== KEYS.learned) return get(key)
    await waitFor(5_000)
    return { kind: 'unavailable', message: 'no answer' }
  }
  const planner = await startPlanner(clock, store, peers, 'a')
  const answer = planner.session?.acceptReports({ agent: 'a', address: 'a:1', start: 's', number: 1, waitMs: 0, reports: [] })
  await clock.tickAsync(100)
  t.like(await answer, { epoch: planner.planner?.epoch, orders: [] })
  const other = makeLearned(0, 1)
  planner.session?.planner.restoreLearned({ ...other, queues: [['own', other.queues[0]?.[1] ?? { ratios: { first: 0, levels: [] }, times: { first: 0, levels: [] }, shapes: [] }]] }, performance.now())
  await clock.tickAsync(30_000)
  t.is(readRecord(store), encodeLearned(LEARNED))
  isSilent = false
  await clock.tickAsync(25_000)
  const stored = decodeLearned(readRecord(store) ?? '')
  t.deepEqual(stored.kind === 'ok' && stored.record.queues.map(([name]) => name).sort(), ['own', ...LEARNED.queues.map(([name]) => name)])
  await endPlanner(clock, planner)
})

test.serial('a planner that is no longer the leader does not write the record', async t => {
  const clock = pauseClock(t)
  const [store, peers] = [new MemoryStore(), new MemoryPeers()]
  const planner = await startPlanner(clock, store, peers, 'a')
  const { transact } = store
  store.transact = async transaction => transact.call(store, { ...transaction, expect: transaction.expect.map(expectation => ({ ...expectation, modRevision: expectation.modRevision + 1 })) })
  planner.session?.planner.restoreLearned(LEARNED, performance.now())
  await clock.tickAsync(61_000)
  t.is(readRecord(store), undefined)
  store.transact = transact
  await endPlanner(clock, planner)
})

test.serial('a large record is written more rarely, at a kilobyte a second at most', async t => {
  const clock = pauseClock(t)
  const [store, peers] = [new MemoryStore(), new MemoryPeers()]
  const planner = await startPlanner(clock, store, peers, 'a')
  let writes = 0
  const { transact } = store
  store.transact = async transaction => {
    writes += transaction.puts.filter(put => put.key === KEYS.learned).length
    return transact.call(store, transaction)
  }
  planner.session?.planner.restoreLearned(makeLearned(0, 500), performance.now())
  for (let round = 0; round < 30; round++) {
    const learned: LearnedRecord = makeLearned(0, 5)
    planner.session?.planner.restoreLearned({ ...learned, queues: learned.queues.map(([name, times]) => [`${name}-${round}`, times] as const) }, performance.now())
    await clock.tickAsync(10_000)
  }
  t.true((readRecord(store)?.length ?? 0) > 40_000, `${readRecord(store)?.length}`)
  t.true(writes >= 2 && writes <= 7, `${writes} writes in 300 s`)
  await endPlanner(clock, planner)
})

test('older builds are not affected: they list none of the keys above the record, and reports may lack the measured speeds', t => {
  for (const prefix of [KEYS.inputPrefix, KEYS.states, KEYS.progress, KEYS.nodes]) t.false(KEYS.learned.startsWith(prefix))
  const running = { task: 'j.0.0.0', run: 1, checkpoint: '', percent: 1, usage: 0 }
  const run = RunMethods.workerReports.params.shape.reports.element.shape.running.element
  t.deepEqual(run.parse(running), running)
  t.deepEqual(run.parse({ ...running, msPerPercent: 3, laterField: 1 }), { ...running, msPerPercent: 3 })
})
