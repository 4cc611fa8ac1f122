/**
 * No job is without a run for long while there is room for it, whatever holds the rest of the fleet: tasks that last, runs that end long before or after their estimates, and gangs that
 * wait for most of the fleet. Guards against LOST of review case 15.
 */
import FakeTimers from '@sinonjs/fake-timers'
import test from 'ava'
import fc from 'fast-check'

import { FAULTS, makeArbitrary } from './graphFaults.js'
import type { Fault } from './graphFaults.js'
import { GraphSimulation, makeStep } from './graphSimulation.js'
import type { SimulatedJob } from './graphSimulation.js'
import { IdleWatch } from './idleWatch.js'

const WORKERS = 4
const START_MS = 3_000
const ARRIVALS_MS = 12_000
/** Time from the first arrival after which the jobs that last are cancelled, so that the others can all end, in milliseconds. */
const LASTING_MS = 60_000
/** Time at the end in which all jobs end, in milliseconds. */
const SETTLE_MS = 240_000
const FOREVER_MS = 3_600_000

/** A job of the simulation and when it arrives, in milliseconds from the first possible arrival. */
interface DrawnJob extends Omit<SimulatedJob, 'id'> {
  readonly at: number
}

/** Makes an arbitrary of factors by which estimates are off, from a tenth to ten times. */
function makeEstimateFactor (): fc.Arbitrary<number> {
  return fc.integer({ min: -10, max: 10 }).map(exponent => 10 ** (exponent / 10))
}

/** Makes an arbitrary of jobs with tasks that last. */
function makeLastingJob (): fc.Arbitrary<DrawnJob> {
  return fc.record({ at: fc.nat(ARRIVALS_MS / 3), priority: fc.integer({ min: 0, max: 2 }), count: fc.integer({ min: 1, max: 3 }), accelerators: fc.integer({ min: 1, max: 2 }), estimatedMs: fc.integer({ min: 100, max: 10_000 }) })
    .map(({ at, priority, ...step }) => ({ at, priority, durationMs: FOREVER_MS, failures: 0, steps: [makeStep({ ...step, isLongRunning: true })] }))
}

/** Makes an arbitrary of jobs of small tasks. */
function makeSmallJob (): fc.Arbitrary<DrawnJob> {
  return fc.record({ at: fc.nat(ARRIVALS_MS), priority: fc.integer({ min: 0, max: 2 }), failures: fc.nat(1), count: fc.integer({ min: 1, max: 3 }), durationMs: fc.integer({ min: 500, max: 30_000 }), factor: makeEstimateFactor() })
    .map(({ factor, count, ...job }) => ({ ...job, steps: [makeStep({ count, estimatedMs: job.durationMs * factor })] }))
}

/** Makes an arbitrary of gangs of whole and half workers. */
function makeGang (): fc.Arbitrary<DrawnJob> {
  return fc.record({ at: fc.nat(ARRIVALS_MS / 2), priority: fc.integer({ min: 0, max: 2 }), failures: fc.nat(1), count: fc.constantFrom(2, WORKERS, WORKERS), accelerators: fc.constantFrom(4, 8, 8), durationMs: fc.integer({ min: 200, max: 6_000 }), factor: makeEstimateFactor() })
    .map(({ factor, count, accelerators, ...job }) => ({ ...job, steps: [makeStep({ count, accelerators, isGang: true, estimatedMs: job.durationMs * factor })] }))
}

function makeJobs (): fc.Arbitrary<DrawnJob[]> {
  return fc.tuple(fc.array(makeLastingJob(), { maxLength: 2 }), fc.array(makeSmallJob(), { minLength: 1, maxLength: 6 }), fc.array(makeGang(), { minLength: 1, maxLength: 4 })).map(lists => lists.flat())
}

/** What a simulation consists of. */
interface Scenario {
  readonly jobs: readonly DrawnJob[]
  readonly faults: readonly Fault[]
}

/** Simulates the fleet with these jobs and faults; returns the violations. */
async function runSimulation ({ jobs: drawn, faults }: Scenario, isRecordingLog = false): Promise<{ readonly violations: string[], readonly lines: readonly string[] }> {
  const clock = FakeTimers.install({ now: 1_700_000_000_000, toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'performance', 'Date'] })
  const simulation = new GraphSimulation(WORKERS, { isRecordingLog })
  const jobs = drawn.map((job, index): DrawnJob & SimulatedJob => ({ ...job, id: (index + 1).toString(16).padStart(16, '0') }))
  const watch = new IdleWatch(simulation, jobs, { isCalm: faults.length === 0 })
  try {
    for (const { at, kind, who, forMs } of faults) setTimeout(() => { setTimeout(FAULTS[kind](simulation, who % 3 === 0 ? simulation.findPlanner() : who, forMs), forMs) }, START_MS + at)
    for (const job of jobs) setTimeout(() => { void simulation.submit(job) }, START_MS + job.at)
    setTimeout(() => watch.endArrivals(), START_MS + Math.max(ARRIVALS_MS, ...faults.map(({ at, forMs }) => at + forMs)))
    setTimeout(() => { for (const { id, durationMs } of jobs) if (durationMs === FOREVER_MS) void simulation.cancel(id) }, START_MS + LASTING_MS)
    await clock.tickAsync(START_MS + LASTING_MS + SETTLE_MS)
    return { violations: [...watch.violations, ...simulation.listViolations()], lines: simulation.lines }
  } finally {
    watch.close()
    simulation.close()
    await clock.tickAsync(2_000)
    clock.uninstall()
  }
}

/** Jobs and faults as JSON, as a failed test prints them. If set, a simulation with them is run and its log is printed. */
const REPLAY = process.env['IDLE_REPLAY']
if (REPLAY !== undefined) {
  test.serial('no job is idle beside room with the jobs and faults given in IDLE_REPLAY', async t => {
    t.timeout(120_000)
    const { violations, lines } = await runSimulation(JSON.parse(REPLAY) as Scenario, true)
    for (const line of lines) t.log(line)
    t.deepEqual(violations, [])
  })
}

/** Simulates drawn scenarios; throws an error that describes the first one with violations. */
async function checkScenarios (scenarios: fc.Arbitrary<Scenario>, seed: number, numRuns: number): Promise<void> {
  await fc.assert(fc.asyncProperty(scenarios, async scenario => {
    const { violations } = await runSimulation(scenario)
    if (violations.length > 0) throw new Error(`${JSON.stringify(scenario)}\n${violations.join('\n')}`)
  }), { seed: Number(process.env['GRAPH_SEED'] ?? seed), numRuns: Number(process.env['GRAPH_RUNS'] ?? numRuns), endOnFailure: true })
}

test.serial('no job is idle beside room, with tasks that last, estimates far off and wide gangs', async t => {
  t.timeout(600_000)
  await t.notThrowsAsync(checkScenarios(fc.record({ jobs: makeJobs(), faults: fc.constant([]) }), 15, 100))
})

test.serial('no job is idle beside room after up to six faults, with tasks that last, estimates far off and wide gangs', async t => {
  t.timeout(600_000)
  await t.notThrowsAsync(checkScenarios(fc.record({ jobs: makeJobs(), faults: makeArbitrary() }), 16, 60))
})
