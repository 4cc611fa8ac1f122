/**
 * A session of the planner and the evacuations of failure domains: it plans nothing before it has loaded them, and answers with starts only while its knowledge
 * is fresh.
 */
import type { ListOutcome } from '@dragonflylever/adapters'
import type { JobGraph, RunState } from '@dragonflylever/core/graphs/index'
import { createQueuedJobState } from '@dragonflylever/daemon/jobPlanner/graphKeys'
import type { RpcParams } from '@dragonflylever/protocol'
import { MemoryPeers, MemoryStore } from '@dragonflylever/standins'
import FakeTimers from '@sinonjs/fake-timers'
import type { Clock } from '@sinonjs/fake-timers'
import test from 'ava'
import type { ExecutionContext } from 'ava'

import type { PlannerCandidate } from '../../src/jobPlanner/plannerCandidate.js'
import { KEYS } from '../graphs/graphNode.js'
import { makeQueue, makeStep } from '../graphs/graphSimulation.js'
import { createCandidate } from './candidateFixture.js'

const PREFIX = 'evacuate/'
const EVACUATIONS = { prefix: PREFIX, decodeKey: (key: string) => key.slice(PREFIX.length), boundMs: 5_000 }
const GRAPH: JobGraph = { id: 'job', organisation: 'o', queue: makeQueue(1), payload: '', steps: [makeStep()], acceptedAt: 0 }

/** A store whose answers to lists of the evacuations are delayed. */
class SlowListStore extends MemoryStore {
  listDelayMs = 0

  override async list (prefix: string): Promise<ListOutcome> {
    const listed = await super.list(prefix)
    if (prefix === PREFIX && this.listDelayMs > 0) await new Promise(resolve => setTimeout(resolve, this.listDelayMs))
    return listed
  }
}

function installClock (t: ExecutionContext): Clock {
  const clock = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'performance', 'Date'] })
  t.teardown(() => clock.uninstall())
  return clock
}

function addJob (store: MemoryStore): void {
  store.engine.put({ key: KEYS.getSpecKey('job'), value: JSON.stringify(GRAPH), expect: { kind: 'any' } })
  store.engine.put({ key: KEYS.getStateKey('job'), value: JSON.stringify(createQueuedJobState(GRAPH)), expect: { kind: 'any' } })
}

async function openCandidate (t: ExecutionContext, clock: Clock, store: MemoryStore): Promise<PlannerCandidate> {
  const peers = new MemoryPeers()
  const candidate = createCandidate(store, peers, 'a', 'a:1', EVACUATIONS)
  t.teardown(async () => {
    void candidate.close()
    await clock.tickAsync(2_000)
  })
  await candidate.open(peers.open('a:1'))
  return candidate
}

/** Makes the report of an agent with one empty worker in the failure domain `d`. */
function makeReport (number: number, waitMs: number): RpcParams<'workerReports'> {
  const capacity = { cpuMillis: 8_000, memoryMb: 8_000, accelerators: 8 }
  const report = { key: { id: 'w', born: 1 }, address: 'w:1', service: 's', rack: 'r', labels: [], failureDomain: 'd', region: 'r', capacity, isDraining: false, isOver: false, isReachable: true, leaseLeftMs: 0, listNumber: number, running: [], ended: [], orders: [], crashes: [] }
  return { agent: 'b', address: 'b:1', start: 's', number, waitMs, reports: [report] }
}

function listRuns (candidate: PlannerCandidate): RunState[] {
  return candidate.session?.planner.getJob('job')?.occurrences.get(0)?.[0]?.tasks.flatMap(task => task.runs) ?? []
}

test.serial('a session assigns no run before it has loaded the evacuations, and none to an evacuated failure domain afterwards', async t => {
  const clock = installClock(t)
  for (const isEvacuated of [true, false]) {
    const store = new SlowListStore()
    store.listDelayMs = 1_000
    addJob(store)
    if (isEvacuated) store.engine.put({ key: `${PREFIX}d`, value: '{}', expect: { kind: 'any' } })
    const candidate = await openCandidate(t, clock, store)
    let number = 0
    const report = async (): Promise<void> => {
      void candidate.session?.acceptReports(makeReport(++number, 100))
      await clock.tickAsync(200)
    }
    while (candidate.session === undefined) await clock.tickAsync(10)
    for (let count = 0; count < 4; count++) await report()
    t.deepEqual(listRuns(candidate), [])
    for (let count = 0; count < 6; count++) await report()
    t.is(listRuns(candidate).length, isEvacuated ? 0 : 1)
  }
})

test.serial('while the knowledge of evacuations is old, a report is not answered with a start; it is once the store has confirmed it', async t => {
  const clock = installClock(t)
  const store = new SlowListStore()
  const candidate = await openCandidate(t, clock, store)
  while (candidate.session === undefined) await clock.tickAsync(10)
  await clock.tickAsync(500)
  // The time of day jumps, as after a suspension; until the next confirmation, the knowledge counts as old.
  const answer = candidate.session.acceptReports(makeReport(1, 60_000))
  let startCount: number | undefined
  void answer.then(({ orders }) => { startCount = orders[0]?.starts.length })
  addJob(store)
  clock.setSystemTime(Date.now() + 60_000)
  await clock.tickAsync(100)
  t.is(listRuns(candidate).length, 1)
  t.is(startCount, undefined)
  await clock.tickAsync(800)
  t.is(startCount, 1)
})
