/**
 * Case 2 of the review: what the planner believed after a list differed from what it had believed by its watch, and completed jobs ran again. Here histories are lost at drawn moments, and a
 * planner and an entry that lived through them are compared with ones that have just read the store.
 */
import type { JobGraph } from '@dragonflylever/core/graphs/index'
import { JobStates } from '@dragonflylever/daemon/jobEntry/jobStates'
import { createQueuedJobState } from '@dragonflylever/daemon/jobPlanner/graphKeys'
import type { JobStateRecord } from '@dragonflylever/daemon/jobPlanner/graphKeys'
import type { PlannerCandidate } from '@dragonflylever/daemon/jobPlanner/plannerCandidate'
import { createLogger } from '@dragonflylever/runtime'
import { MemoryPeers, MemoryStore } from '@dragonflylever/standins'
import FakeTimers from '@sinonjs/fake-timers'
import test from 'ava'
import fc from 'fast-check'

import { KEYS, TIMES, createClient } from '../graphs/graphNode.js'
import { makeQueue, makeStep } from '../graphs/graphSimulation.js'
import { createCandidate } from './candidateFixture.js'

const NOW = 1_700_000_000_000
const HOUR_MS = 3_600_000
const JOBS = ['a', 'b', 'c', 'd']
const LOGGER = createLogger({ level: 'silent', processId: 't' })

/** What clients and the store do, in turn, and how long afterwards the next thing happens. */
const action = fc.record({
  kind: fc.constantFrom('submit', 'cancel', 'loseHistory', 'loseHistoryWhileDown', 'turnEntryAway', 'takeEntryBack', 'loseAnswer', 'wait'),
  job: fc.constantFrom(...JOBS),
  ageMs: fc.constantFrom(0, 2 * HOUR_MS),
  pauseMs: fc.constantFrom(0, 3, 400, 6_000, 70_000, 260_000)
})

/** Stores a job as an entry does, unless its id is in use. */
function submitJob (store: MemoryStore, id: string, ageMs: number): void {
  const graph: JobGraph = { id, organisation: 'o', queue: makeQueue(1), payload: '', steps: [makeStep()], acceptedAt: Date.now() - ageMs }
  const specKey = KEYS.getSpecKey(id)
  const stateKey = KEYS.getStateKey(id)
  store.engine.transact({
    expect: [{ key: specKey, modRevision: 0 }, { key: stateKey, modRevision: 0 }],
    puts: [{ key: specKey, value: JSON.stringify(graph) }, { key: stateKey, value: JSON.stringify(createQueuedJobState(graph)) }],
    removes: []
  })
}

function listPhases (candidate: PlannerCandidate): Array<string | undefined> {
  return JOBS.map(id => candidate.session?.planner.getJob(id)?.phase)
}

function listStates (states: JobStates): Array<JobStateRecord | undefined> {
  return JOBS.map(id => states.get(id))
}

test.serial('after histories were lost at drawn moments, the planner and an entry know what a new planner and a new entry read from the store', async t => {
  const clock = FakeTimers.install({ now: NOW, toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'performance', 'Date'] })
  t.teardown(() => clock.uninstall())
  await fc.assert(fc.asyncProperty(fc.array(action, { minLength: 1, maxLength: 12 }), async actions => {
    const store = new MemoryStore()
    const peers = new MemoryPeers()
    const candidate = createCandidate(store, peers, 'a', 'a:1')
    const entryStore = new MemoryStore({ engine: store.engine })
    const states = new JobStates({ store: createClient(entryStore), keys: KEYS, logger: LOGGER })
    await candidate.open(peers.open('a:1'))
    await states.open()
    await clock.tickAsync(1_000)
    const ended = new Set<string>()
    for (const { kind, job, ageMs, pauseMs } of actions) {
      if (kind === 'submit' && !ended.has(job)) submitJob(store, job, ageMs)
      if (kind === 'cancel' && store.engine.get(KEYS.getSpecKey(job)) !== undefined) store.engine.put({ key: KEYS.getCancelKey(job), value: '1', expect: { kind: 'any' } })
      if (kind === 'loseAnswer') store.faults.loseAnswers = 1
      if (kind.startsWith('loseHistory')) for (const watched of [store, entryStore]) watched.endWatches()
      if (kind === 'turnEntryAway') entryStore.endWatches()
      if (kind === 'turnEntryAway' || kind === 'takeEntryBack') entryStore.faults.isDown = kind === 'turnEntryAway'
      if (kind === 'loseHistoryWhileDown') {
        store.faults.isDown = true
        await clock.tickAsync(1_500)
        store.faults.isDown = false
      }
      await clock.tickAsync(pauseMs)
      for (const id of JOBS) {
        const phase = candidate.session?.planner.getJob(id)?.phase
        if (phase === 'cancelled') ended.add(id)
        t.false(ended.has(id) && (phase === 'queued' || phase === 'running'), `${id} is planned again after its end`)
      }
    }
    store.faults.loseAnswers = 0
    entryStore.faults.isDown = false
    await clock.tickAsync(3_000)
    const known = listPhases(candidate)
    const knownStates = listStates(states)
    const newStates = new JobStates({ store: createClient(store), keys: KEYS, logger: LOGGER })
    await newStates.open()
    t.deepEqual(knownStates, listStates(newStates))
    t.is(states.countWaiting('q1'), newStates.countWaiting('q1'))
    void candidate.close()
    await clock.tickAsync(2_000)
    const next = createCandidate(store, peers, 'b', 'b:1')
    await next.open(peers.open('b:1'))
    await clock.tickAsync(TIMES.formerLeaderMs)
    t.deepEqual(listPhases(next), known)
    for (const watched of [states, newStates]) watched.close()
    void next.close()
    await clock.tickAsync(2_000)
  }), { seed: 34, numRuns: 150, endOnFailure: true })
})
