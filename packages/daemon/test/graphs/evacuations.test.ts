/**
 * Evacuations of failure domains under faults of any kind: from the bound after a request until its withdrawal, no agent sends a start to a worker of the
 * domain, whichever process is the planner and whatever fails. The other invariants of the fleet hold as well.
 */
import FakeTimers from '@sinonjs/fake-timers'
import type { Clock } from '@sinonjs/fake-timers'
import test from 'ava'
import fc from 'fast-check'

import { FAULTS, listJobs, makeArbitrary } from './graphFaults.js'
import type { Fault } from './graphFaults.js'
import { GraphSimulation, makeStep } from './graphSimulation.js'
import type { SimulatedJob } from './graphSimulation.js'

const WORKERS = 4
const START_MS = 3_000
const BOUND_MS = 5_000
/** Longest time from the sending of a start until its arrival, in milliseconds. */
const CALL_MS = 400
const SETTLE_MS = 75_000
const PREFIX = 'evacuate/'
const EVACUATIONS = { prefix: PREFIX, decodeKey: (key: string) => key.slice(PREFIX.length), boundMs: BOUND_MS }

interface Request {
  readonly at: number
  readonly domain: string
  readonly forMs: number
}

interface Fleet {
  readonly simulation: GraphSimulation
  readonly clock: Clock
  /** Starts that were sent, with the failure domain and how long it had been evacuated by then, in milliseconds; undefined if it was not. */
  readonly starts: Array<{ readonly domain: string, readonly task: string, readonly evacuatedMs: number | undefined }>
  readonly request: (domain: string) => void
  readonly withdraw: (domain: string) => void
}

/** Runs a scenario in a fleet with a planner; returns the violations of invariants. */
async function listViolations (scenario: (fleet: Fleet) => Promise<void>): Promise<string[]> {
  const clock = FakeTimers.install({ now: 1_700_000_000_000, toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'performance', 'Date'] })
  const requestedAt = new Map<string, number>()
  const starts: Fleet['starts'] = []
  const simulation = new GraphSimulation(WORKERS, {
    evacuations: EVACUATIONS,
    onStartSent: (domain, task) => {
      const since = requestedAt.get(domain)
      starts.push({ domain, task, evacuatedMs: since === undefined ? undefined : performance.now() - since })
    }
  })
  const request = (domain: string): void => {
    simulation.store.put({ key: PREFIX + domain, value: '{}', expect: { kind: 'any' } })
    if (!requestedAt.has(domain)) requestedAt.set(domain, performance.now())
  }
  const withdraw = (domain: string): void => {
    simulation.store.remove(PREFIX + domain, { kind: 'any' })
    requestedAt.delete(domain)
  }
  try {
    await clock.tickAsync(START_MS)
    await scenario({ simulation, clock, starts, request, withdraw })
    for (const domain of [...requestedAt.keys()]) withdraw(domain)
    await clock.tickAsync(SETTLE_MS)
    const late = starts.filter(({ evacuatedMs }) => (evacuatedMs ?? 0) > BOUND_MS - CALL_MS)
    return [...simulation.listViolations(), ...late.map(({ domain, task, evacuatedMs }) => `the start of ${task} was sent to ${domain} ${evacuatedMs} ms after the request`)]
  } finally {
    simulation.close()
    await clock.tickAsync(2_000)
    clock.uninstall()
  }
}

function runFaults (simulation: GraphSimulation, faults: readonly Fault[]): void {
  for (const fault of faults) {
    setTimeout(() => {
      const nodeIndex = fault.who % 3 === 0 ? simulation.findPlanner() : fault.who
      setTimeout(FAULTS[fault.kind](simulation, nodeIndex, fault.forMs), fault.forMs)
    }, fault.at)
  }
}

/** Submits short jobs one after the other, so that there is something to start at any time. */
function submitJobs (simulation: GraphSimulation, count: number): void {
  for (let index = 0; index < count; index++) {
    setTimeout(() => { void simulation.submit({ id: (index + 100).toString(16).padStart(16, '0'), priority: index % 3, durationMs: 700, failures: 0, steps: [makeStep({ count: 1 + index % 3, accelerators: 4, isGang: index % 4 === 0 })] }) }, index * 200)
  }
}

/** Makes a job whose tasks fill all workers for 0.7 s. */
function makeBacklogJob (index: number): SimulatedJob {
  return { id: index.toString(16).padStart(16, 'b'), priority: 1, durationMs: 700, failures: 0, steps: [makeStep({ count: WORKERS, accelerators: 8, cpuMillis: 8_000 })] }
}

test.serial('a new planner knows the evacuations before it starts anything', async t => {
  t.timeout(120_000)
  const violations = await listViolations(async ({ simulation, clock, starts, request }) => {
    submitJobs(simulation, 60)
    await clock.tickAsync(2_000)
    request('d0')
    await clock.tickAsync(BOUND_MS)
    const before = starts.length
    simulation.restartNode(simulation.findPlanner(), 1_000)
    await clock.tickAsync(9_000)
    t.true(starts.length > before + 10)
    t.true(starts.slice(before).every(({ domain }) => domain === 'd1'))
  })
  t.deepEqual(violations, [])
})

test.serial('a job that only evacuated failure domains could run waits, and starts soon after a withdrawal', async t => {
  t.timeout(120_000)
  const violations = await listViolations(async ({ simulation, clock, starts, request, withdraw }) => {
    request('d0')
    request('d1')
    await clock.tickAsync(BOUND_MS)
    submitJobs(simulation, 5)
    await clock.tickAsync(20_000)
    t.deepEqual(starts, [])
    withdraw('d1')
    await clock.tickAsync(1_000)
    t.true(starts.length > 0)
    t.true(starts.every(({ domain }) => domain === 'd1'))
  })
  t.deepEqual(violations, [])
})

test.serial('a planner whose watches have fallen silent sends no starts after half of the bound, although the store takes its writes', async t => {
  t.timeout(120_000)
  for (let offsetMs = 0; offsetMs < 1_000; offsetMs += 250) {
    const violations = await listViolations(async ({ simulation, clock, request, starts }) => {
      for (let index = 1; index <= 25; index++) void simulation.submit(makeBacklogJob(index))
      await clock.tickAsync(2_000 + offsetMs)
      for (let index = 0; index < WORKERS; index++) simulation.getNode(index).memory.faults.skipWatchEvents = true
      request('d0')
      await clock.tickAsync(BOUND_MS / 2)
      const sentCount = starts.length
      await clock.tickAsync(BOUND_MS / 2 + 1_000)
      t.is(starts.length, sentCount)
      t.true(sentCount < 4 * 25)
      for (let index = 0; index < WORKERS; index++) {
        const { memory } = simulation.getNode(index)
        memory.faults.skipWatchEvents = false
        memory.endWatches()
      }
      await clock.tickAsync(3_000)
      t.true(starts.length > sentCount)
    })
    t.deepEqual(violations, [], `silent from ${offsetMs} ms`)
  }
})

test.serial('a start that an agent retries while its worker is silent, and of whose stop it does not hear, is not sent after the bound', async t => {
  t.timeout(120_000)
  const violations = await listViolations(async ({ simulation, clock, request, starts }) => {
    const others = Array.from({ length: WORKERS }, (_, index) => index).filter(index => index !== simulation.findPlanner())
    for (const index of others) simulation.getNode(index).workerFaults.isPartitioned = true
    void simulation.submit(makeBacklogJob(1))
    await clock.tickAsync(300)
    t.true(starts.length >= others.length)
    for (const index of others) simulation.getNode(index).setUnreachable(true)
    request('d0')
    request('d1')
    await clock.tickAsync(BOUND_MS + 500)
    for (const index of others) simulation.getNode(index).workerFaults.isPartitioned = false
    await clock.tickAsync(2_000)
    for (const index of others) simulation.getNode(index).setUnreachable(false)
    await clock.tickAsync(2_000)
  })
  t.deepEqual(violations, [])
})

test.serial('no start is sent to an evacuated failure domain after the bound, with up to four evacuations and six faults at random times', async t => {
  t.timeout(600_000)
  const request = fc.record({ at: fc.integer({ min: 0, max: 14_000 }), domain: fc.constantFrom('d0', 'd1'), forMs: fc.integer({ min: 100, max: 16_000 }) })
  const lists = fc.tuple(makeArbitrary(), fc.array(request, { minLength: 1, maxLength: 4 }))
  await t.notThrowsAsync(fc.assert(fc.asyncProperty(lists, async ([faults, requests]: [Fault[], Request[]]) => {
    const violations = await listViolations(async fleet => {
      const { simulation, clock } = fleet
      runFaults(simulation, faults)
      for (const [index, job] of listJobs().entries()) setTimeout(() => { void simulation.submit(job) }, index * 700)
      setTimeout(() => { void simulation.cancel(listJobs()[7]?.id ?? '') }, 12_000)
      for (let index = 1; index <= 12; index++) void simulation.submit(makeBacklogJob(index))
      for (const { at, domain, forMs } of requests) {
        setTimeout(() => fleet.request(domain), at)
        setTimeout(() => fleet.withdraw(domain), at + forMs)
      }
      await clock.tickAsync(20_000)
    })
    if (violations.length > 0) throw new Error(`${JSON.stringify([faults, requests])}\n${violations.join('\n')}`)
  }), { seed: Number(process.env['GRAPH_SEED'] ?? 13), numRuns: Number(process.env['GRAPH_RUNS'] ?? 20), endOnFailure: true }))
})
