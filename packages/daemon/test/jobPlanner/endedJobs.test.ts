/**
 * Ended jobs whose records could not be removed when they expired, and a watch that loses its history: the jobs are listed anew and must not run again.
 */
import type { JobGraph } from '@dragonflylever/core/graphs/index'
import { createQueuedJobState } from '@dragonflylever/daemon/jobPlanner/graphKeys'
import { MemoryPeers, MemoryStore } from '@dragonflylever/standins'
import FakeTimers from '@sinonjs/fake-timers'
import test from 'ava'
import fc from 'fast-check'

import { KEYS, TIMES } from '../graphs/graphNode.js'
import { makeQueue, makeStep } from '../graphs/graphSimulation.js'
import { createCandidate } from './candidateFixture.js'

const NOW = 1_700_000_000_000
const JOBS = ['a', 'b', 'c']
const PHASES = ['completed', 'failed', 'cancelled'] as const

/** Stores a job as a planner leaves it when it has ended. */
function putEndedJob (store: MemoryStore, id: string, phase: typeof PHASES[number]): void {
  const graph: JobGraph = { id, organisation: 'o', queue: makeQueue(1), payload: '', steps: [makeStep()], acceptedAt: NOW - TIMES.retentionMs }
  const put = (key: string, value: object): unknown => store.engine.put({ key, value: JSON.stringify(value), expect: { kind: 'any' } })
  put(KEYS.getSpecKey(id), graph)
  put(KEYS.getStateKey(id), { ...createQueuedJobState(graph), phase })
  put(KEYS.getProgressKey(id), { phase, endedAt: NOW - TIMES.retentionMs, steps: { '0.0': { failures: 0, failedRun: 0, tasks: [[1, 0, 1, '', [], []]] } } })
}

const fault = fc.record({ atMs: fc.integer({ min: -20_000, max: 20_000 }), downMs: fc.integer({ min: 0, max: 15_000 }), losesHistory: fc.boolean() })

test.serial('ended jobs whose records outlive an outage and are listed again do not run again, and their records are removed in the end', async t => {
  const clock = FakeTimers.install({ now: NOW, toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'performance', 'Date'] })
  t.teardown(() => clock.uninstall())
  await fc.assert(fc.asyncProperty(fc.array(fault, { minLength: 1, maxLength: 4 }), fc.constantFrom(...PHASES), async (faults, phase) => {
    clock.setSystemTime(NOW)
    const store = new MemoryStore()
    for (const id of JOBS) putEndedJob(store, id, phase)
    const peers = new MemoryPeers()
    const candidate = createCandidate(store, peers, 'a', 'a:1')
    await candidate.open(peers.open('a:1'))
    await clock.tickAsync(1_000)
    // A planner that was elected after an outage keeps the jobs for the retention time once more.
    const endAt = 2 * TIMES.retentionMs + 60_000
    for (let elapsedMs = 1_000; elapsedMs < endAt; elapsedMs += 500) {
      const active = faults.filter(({ atMs, downMs }) => elapsedMs >= TIMES.retentionMs + atMs && elapsedMs < TIMES.retentionMs + atMs + downMs)
      store.faults.isDown = active.length > 0
      if (active.some(({ losesHistory }) => losesHistory)) store.endWatches()
      await clock.tickAsync(500)
      t.is(candidate.session?.planner.activeCount ?? 0, 0)
    }
    t.deepEqual(store.engine.list(KEYS.inputPrefix), [])
    t.deepEqual(store.engine.list(KEYS.progress), [])
    void candidate.close()
    await clock.tickAsync(2_000)
  }), { seed: 31, numRuns: 12, endOnFailure: true })
})
