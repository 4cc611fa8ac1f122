/**
 * How long the planner keeps the states of jobs that have ended, during which their ids cannot be reused.
 */
import { MemoryPeers, MemoryStore } from '@dragonflylever/standins'
import FakeTimers from '@sinonjs/fake-timers'
import test from 'ava'

import { KEYS } from '../graphs/graphNode.js'
import { createCandidate } from './candidateFixture.js'

const NOW = 1_700_000_000_000
const HOUR_MS = 3_600_000

async function putState (store: MemoryStore, jobId: string, phase: string, ageMs: number): Promise<void> {
  const state = { phase, queue: 'q', organisation: 'o', isTimed: false, acceptedAt: NOW - ageMs }
  await store.put({ key: KEYS.getStateKey(jobId), value: JSON.stringify(state), expect: { kind: 'any' } })
}

test.serial('the state of an ended job is removed an hour after the job was accepted; states of later and of unfinished jobs are kept', async t => {
  const clock = FakeTimers.install({ now: NOW, toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'performance', 'Date'] })
  t.teardown(() => clock.uninstall())
  const store = new MemoryStore()
  for (let index = 0; index < 40; index++) await putState(store, `old${index}`, 'completed', HOUR_MS + 1_000)
  await putState(store, 'young', 'completed', HOUR_MS / 2)
  await putState(store, 'lasting', 'running', 2 * HOUR_MS)
  const peers = new MemoryPeers()
  const candidate = createCandidate(store, peers, 'a', 'a:1')
  await candidate.open(peers.open('a:1'))
  await clock.tickAsync(12_000)
  t.deepEqual(store.engine.list(KEYS.states).map(value => value.key), ['lasting', 'young'].map(jobId => KEYS.getStateKey(jobId)))
  void candidate.close()
  await clock.tickAsync(2_000)
})
