/**
 * Invariants that entries, agents, the leader election of the planner and the store guarantee together under any faults: no task
 * runs twice at the same time, starts after its end was acknowledged or before its predecessors, or belongs to a refused job; each
 * accepted job reaches an end, and is shown as completed only if it is.
 */
import FakeTimers from '@sinonjs/fake-timers'
import test from 'ava'
import fc from 'fast-check'

import { FAULTS, listJobs, makeArbitrary } from './graphFaults.js'
import type { Fault } from './graphFaults.js'
import { GraphSimulation, makeStep } from './graphSimulation.js'
import type { SimulatedJob } from './graphSimulation.js'

const WORKERS = 4
const START_MS = 3_000
/** Time without faults at the end of a test, in milliseconds; within it leases expire, a new planner is elected and all jobs end. */
const SETTLE_MS = 75_000

/** Lists jobs with a task that crashes each worker that starts it, alone and in a gang. */
function listCrashingJobs (): SimulatedJob[] {
  return [
    { id: 'c'.repeat(16), priority: 1, durationMs: 3_000, failures: 0, steps: [makeStep({ count: 2 })], crashingTasks: ['0.0.1'] },
    { id: 'd'.repeat(16), priority: 1, durationMs: 3_000, failures: 0, steps: [makeStep({ count: 3, isGang: true })], crashingTasks: ['0.0.0'] }
  ]
}

/** Simulates the fleet with these jobs, more jobs and faults; returns the violations of invariants as `faults`. */
async function runSimulation (faults: readonly Fault[], isRecordingLog = false, moreJobs: readonly SimulatedJob[] = []): Promise<{ faults: string[], simulation: GraphSimulation }> {
  const clock = FakeTimers.install({ now: 1_700_000_000_000, toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'performance', 'Date'] })
  const simulation = new GraphSimulation(WORKERS, { isRecordingLog })
  try {
    for (const fault of faults) {
      setTimeout(() => {
        const nodeIndex = fault.who % 3 === 0 ? simulation.findPlanner() : fault.who
        const end = FAULTS[fault.kind](simulation, nodeIndex, fault.forMs)
        setTimeout(end, fault.forMs)
      }, START_MS + fault.at)
    }
    for (const [index, job] of [...listJobs(), ...moreJobs].entries()) setTimeout(() => { void simulation.submit(job) }, START_MS + index * 700)
    setTimeout(() => { void simulation.cancel(listJobs()[7]?.id ?? '') }, START_MS + 12_000)
    await clock.tickAsync(START_MS + 20_000 + SETTLE_MS)
    return { faults: simulation.listViolations(), simulation }
  } finally {
    simulation.close()
    await clock.tickAsync(2_000)
    clock.uninstall()
  }
}

test.serial('without faults every job ends, and no run ends because of an expired lease or a failed gang member', async t => {
  t.timeout(120_000)
  const { faults, simulation } = await runSimulation([])
  t.deepEqual(faults, [])
  t.is(simulation.accepted.size, 8)
  t.is(simulation.checker.ends.get('lapsed'), undefined)
  t.is(simulation.checker.ends.get('alone'), undefined)
})

/**
 * List of faults as JSON, as a failed test prints it. If set, a simulation with these faults is run and its log is printed; with GRAPH_CRASHING, the one
 * with tasks that crash workers.
 */
const REPLAY = process.env['GRAPH_REPLAY']
if (REPLAY !== undefined) {
  test.serial('all invariants hold with the faults given in GRAPH_REPLAY', async t => {
    t.timeout(120_000)
    const { faults, simulation } = await runSimulation(JSON.parse(REPLAY) as Fault[], true, process.env['GRAPH_CRASHING'] === undefined ? [] : listCrashingJobs())
    for (const line of simulation.lines) t.log(line)
    t.deepEqual(faults, [])
  })
}

test.serial('all invariants hold with up to six faults at random times', async t => {
  t.timeout(600_000)
  await t.notThrowsAsync(fc.assert(fc.asyncProperty(makeArbitrary(), async list => {
    const { faults } = await runSimulation(list)
    if (faults.length > 0) throw new Error(`${JSON.stringify(list)}\n${faults.join('\n')}`)
  }), { seed: Number(process.env['GRAPH_SEED'] ?? 11), numRuns: Number(process.env['GRAPH_RUNS'] ?? 25), endOnFailure: true }))
})

test.serial('all invariants hold with tasks that crash their workers and up to six faults at random times', async t => {
  t.timeout(600_000)
  await t.notThrowsAsync(fc.assert(fc.asyncProperty(makeArbitrary(), async list => {
    const { faults } = await runSimulation(list, false, listCrashingJobs())
    if (faults.length > 0) throw new Error(`${JSON.stringify(list)}\n${faults.join('\n')}`)
  }), { seed: Number(process.env['GRAPH_SEED'] ?? 12), numRuns: Number(process.env['GRAPH_RUNS'] ?? 15), endOnFailure: true }))
})
