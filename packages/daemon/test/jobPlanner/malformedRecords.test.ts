/**
 * Malformed records under the keys that the planner reads: the planner ignores them, logs them and plans the other jobs.
 */
import { JobPhase } from '@dragonflylever/core/graphs/index'
import type { JobGraph } from '@dragonflylever/core/graphs/index'
import { getLeaderKey } from '@dragonflylever/daemon/duties/leaderElector'
import { createQueuedJobState } from '@dragonflylever/daemon/jobPlanner/graphKeys'
import { MemoryPeers, MemoryStore } from '@dragonflylever/standins'
import FakeTimers from '@sinonjs/fake-timers'
import test from 'ava'

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

test.serial('jobs with malformed progress records are left alone, malformed specs are skipped, and the other jobs are planned', async t => {
  const clock = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'performance', 'Date'] })
  t.teardown(() => clock.uninstall())
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
  const clock = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'performance', 'Date'] })
  t.teardown(() => clock.uninstall())
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
