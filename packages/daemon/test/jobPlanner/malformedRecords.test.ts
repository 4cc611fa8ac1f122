/**
 * Malformed records under the keys that the planner reads: the planner ignores them, logs them and plans the other jobs.
 */
import { JobPhase } from '@dragonflylever/core/graphs/index'
import type { JobGraph } from '@dragonflylever/core/graphs/index'
import { getLeaderKey } from '@dragonflylever/daemon/duties/leaderElector'
import { createQueuedJobState } from '@dragonflylever/daemon/jobPlanner/graphKeys'
import { decodeProgress } from '@dragonflylever/daemon/jobPlanner/progressRecord'
import type { WorkerReportMessage } from '@dragonflylever/protocol'
import { MemoryPeers, MemoryStore } from '@dragonflylever/standins'
import FakeTimers from '@sinonjs/fake-timers'
import test from 'ava'
import type { ExecutionContext } from 'ava'
import fc from 'fast-check'

import { KEYS, PREFIX } from '../graphs/graphNode.js'
import { makeQueue, makeStep } from '../graphs/graphSimulation.js'
import { createCandidate } from './candidateFixture.js'

const MALFORMED = ['', '{', 'null', '[]', '{"phase":"queued"}', '{"phase":"queued","steps":{"0.0":{"tasks":null}}}', '{"phase":"queued","steps":{"x":1}}']
const LEADER_KEY = getLeaderKey(PREFIX, 'graph-planner')
/** Job specs with a valid shape that no planner can hold or plan. */
const OVERSIZED_STEPS = [[{ count: 2 ** 31 }], [{ count: 6_000 }, { count: 6_000 }], [{ count: 1, after: [7] }]]

function makeGraph (id: string): JobGraph {
  return { id, organisation: 'o', queue: makeQueue(1), payload: '', steps: [makeStep()], acceptedAt: 0 }
}

/** A progress record of the job that `makeGraph` makes: one run has been started, and its worker is not known to have ended it. */
const PROGRESS = { phase: 'running', steps: { '0.0': { failures: 0, failedRun: 0, tasks: [[0, 0, 1, '', [[1, 'w', 5, '10.0.0.1:1']], []]] } } }

/** Draws texts that another version of this program or another writer could leave: any text, any JSON, and a valid value with one part replaced. */
function makeMalformedText (valid: unknown): fc.Arbitrary<string> {
  const odd = fc.oneof(fc.constantFrom<unknown>(null, -1, 0.5, 1e300, '', 'x', [], {}, true, undefined), fc.jsonValue())
  const changed = fc.tuple(fc.nat(), odd).map(([index, value]) => JSON.stringify(replacePart(valid, { index, value }) ?? null))
  return fc.oneof(changed, fc.json(), fc.string({ unit: 'binary' }))
}

/** Returns a copy of a JSON value in which one part, chosen by `index`, is replaced. */
function replacePart (value: unknown, change: { readonly index: number, readonly value: unknown }): unknown {
  const paths = listPaths(value)
  const path = paths[change.index % paths.length] ?? []
  return replaceAt(value, path, change.value)
}

function listPaths (value: unknown): string[][] {
  if (typeof value !== 'object' || value === null) return [[]]
  return [[], ...Object.entries(value).flatMap(([key, part]) => listPaths(part).map(path => [key, ...path]))]
}

function replaceAt (value: unknown, [key, ...rest]: readonly string[], part: unknown): unknown {
  if (key === undefined || typeof value !== 'object' || value === null) return part
  const changed = replaceAt((value as Record<string, unknown>)[key], rest, part)
  if (Array.isArray(value)) return value.map((item, index) => String(index) === key ? changed : item)
  return { ...value, [key]: changed }
}

function installClock (t: ExecutionContext): FakeTimers.Clock {
  const clock = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'performance', 'Date'] })
  t.teardown(() => clock.uninstall())
  return clock
}

function makeReport (): WorkerReportMessage {
  return {
    key: { id: 'w2', born: 1 },
    address: '10.0.0.2:1',
    service: 's',
    rack: 'r1',
    labels: ['a', 'r1'],
    failureDomain: 'z',
    region: 'r',
    capacity: { cpuMillis: 32_000, memoryMb: 32_000, accelerators: 8 },
    isDraining: false,
    isOver: false,
    isReachable: true,
    leaseLeftMs: 0,
    listNumber: 1,
    running: [],
    ended: [],
    orders: [],
    crashes: []
  }
}

test.serial('jobs with malformed progress records are left alone, malformed specs are skipped, and the other jobs are planned', async t => {
  const clock = installClock(t)
  const store = new MemoryStore()
  const put = (key: string, value: string): unknown => store.put({ key, value, expect: { kind: 'any' } })
  for (const [index, value] of MALFORMED.entries()) {
    put(KEYS.getSpecKey(`bad${index}`), value)
    put(KEYS.getStateKey(`bad${index}`), value)
    put(KEYS.getSpecKey(`job${index}`), JSON.stringify(makeGraph(`job${index}`)))
    put(KEYS.getStateKey(`job${index}`), JSON.stringify(createQueuedJobState(makeGraph(`job${index}`))))
    put(KEYS.getProgressKey(`job${index}`), value)
    put(KEYS.getNodeKey(`node${index}`), value)
  }
  for (const [index, changes] of OVERSIZED_STEPS.entries()) {
    const graph = { ...makeGraph(`big${index}`), steps: changes.map(change => ({ ...makeStep(), ...change })) }
    put(KEYS.getSpecKey(graph.id), JSON.stringify(graph))
    put(KEYS.getStateKey(graph.id), JSON.stringify(createQueuedJobState(graph)))
  }
  put(KEYS.getSpecKey('good'), JSON.stringify(makeGraph('good')))
  put(KEYS.getStateKey('good'), JSON.stringify(createQueuedJobState(makeGraph('good'))))
  const peers = new MemoryPeers()
  const candidate = createCandidate(store, peers, 'a', 'a:1')
  await candidate.open(peers.open('a:1'))
  await clock.tickAsync(2_000)
  t.is(candidate.session?.planner.getJob('good')?.phase, JobPhase.queued)
  for (const index of OVERSIZED_STEPS.keys()) t.is(candidate.session?.planner.getJob(`big${index}`), undefined)
  put(KEYS.getSpecKey('later'), JSON.stringify(makeGraph('later')))
  put(KEYS.getStateKey('later'), JSON.stringify(createQueuedJobState(makeGraph('later'))))
  await clock.tickAsync(500)
  t.is(candidate.session?.planner.getJob('later')?.phase, JobPhase.queued)
  void candidate.close()
  await clock.tickAsync(2_000)
})

test.serial('a malformed leader record ends no candidate, and a planner is elected once the record is gone', async t => {
  const clock = installClock(t)
  for (const value of [...MALFORMED, '{"holder":1,"address":{}}', '"\\ud800"', `{"holder":"a","address":"a:1","nonce":${'9'.repeat(400)}}`]) {
    const store = new MemoryStore()
    const peers = new MemoryPeers()
    const candidate = createCandidate(store, peers, 'a', 'a:1')
    await candidate.open(peers.open('a:1'))
    // Before its first attempt: the record is read by the attempt itself.
    store.engine.put({ key: LEADER_KEY, value, expect: { kind: 'any' } })
    await clock.tickAsync(3_000)
    t.is(candidate.session, undefined, value)
    store.engine.remove(LEADER_KEY, { kind: 'any' })
    await clock.tickAsync(3_000)
    t.not(candidate.session, undefined, value)
    void candidate.close()
    await clock.tickAsync(2_000)
  }
})

test.serial('a job whose progress record can not be read is not started from the beginning when the jobs are listed again', async t => {
  const clock = installClock(t)
  for (const value of MALFORMED) {
    const store = new MemoryStore()
    const graph = makeGraph('job')
    store.engine.put({ key: KEYS.getSpecKey('job'), value: JSON.stringify(graph), expect: { kind: 'any' } })
    store.engine.put({ key: KEYS.getStateKey('job'), value: JSON.stringify({ ...createQueuedJobState(graph), phase: JobPhase.running }), expect: { kind: 'any' } })
    store.engine.put({ key: KEYS.getProgressKey('job'), value, expect: { kind: 'any' } })
    const peers = new MemoryPeers()
    const candidate = createCandidate(store, peers, 'a', 'a:1')
    await candidate.open(peers.open('a:1'))
    await clock.tickAsync(1_000)
    t.not(candidate.session, undefined)
    for (let count = 0; count < 3; count++) {
      store.endWatches()
      await clock.tickAsync(1_000)
      t.is(candidate.session?.planner.getJob('job'), undefined, value)
    }
    t.is(store.engine.get(KEYS.getProgressKey('job'))?.value, value)
    void candidate.close()
    await clock.tickAsync(2_000)
  }
})

test.serial('records with drawn values end no planner: a job is planned with its whole progress or left alone', async t => {
  const clock = installClock(t)
  const graph = makeGraph('job')
  const records = fc.record({ spec: makeMalformedText(graph), state: makeMalformedText(createQueuedJobState(graph)), progress: makeMalformedText(PROGRESS), node: makeMalformedText({ address: 'a:1', region: 'r' }) })
  await fc.assert(fc.asyncProperty(records, fc.boolean(), async ({ spec, state, progress, node }, isSpecSound) => {
    const store = new MemoryStore()
    const put = (key: string, value: string): unknown => store.engine.put({ key, value, expect: { kind: 'any' } })
    put(KEYS.getSpecKey('job'), isSpecSound ? JSON.stringify(graph) : spec)
    put(KEYS.getStateKey('job'), state)
    put(KEYS.getProgressKey('job'), progress)
    put(KEYS.getNodeKey('node'), node)
    put(KEYS.getSpecKey('good'), JSON.stringify(makeGraph('good')))
    put(KEYS.getStateKey('good'), JSON.stringify(createQueuedJobState(makeGraph('good'))))
    const peers = new MemoryPeers()
    const candidate = createCandidate(store, peers, 'a', 'a:1')
    await candidate.open(peers.open('a:1'))
    await clock.tickAsync(1_000)
    const { session } = candidate
    void session?.acceptReports({ agent: 'b', address: 'b:1', start: 's', number: 1, waitMs: 400, reports: [makeReport()] })
    await clock.tickAsync(1_500)
    store.endWatches()
    await clock.tickAsync(1_500)
    t.not(session?.planner.getJob('good'), undefined)
    const job = session?.planner.getJob('job')
    const record = decodeProgress(graph, progress)
    if (isSpecSound) t.is(job !== undefined, record !== undefined, progress)
    if (isSpecSound) t.is(job?.phase, record?.phase)
    if (job === undefined) t.is(store.engine.get(KEYS.getProgressKey('job'))?.value, progress)
    void candidate.close()
    await clock.tickAsync(2_000)
  }), { seed: 34, numRuns: 150, endOnFailure: true })
})
