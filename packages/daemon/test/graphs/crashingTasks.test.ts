/**
 * Tasks that crash the workers that start them, and workers that crash by themselves. A task is given up once enough workers have crashed under it, also
 * across changes of the planner; no job is given up for crashes that it did not cause.
 */
import { JobPhase } from '@dragonflylever/core/graphs/index'
import type { Clock } from '@sinonjs/fake-timers'
import test from 'ava'

import { makeStep } from './graphSimulation.js'
import type { GraphSimulation, SimulatedJob } from './graphSimulation.js'
import { runScenario } from './runScenario.js'

const WORKERS = 5
const CRASHING = makeId(1)

function makeId (number: number): string {
  return number.toString(16).padStart(16, '0')
}

function makeJob (number: number, given: Partial<SimulatedJob> = {}): SimulatedJob {
  return { id: makeId(number), priority: 1, durationMs: 4_000, failures: 0, steps: [makeStep()], ...given }
}

/** Submits jobs of single tasks that keep the workers busy. */
function submitOtherJobs (simulation: GraphSimulation): void {
  for (let number = 10; number < 16; number++) void simulation.submit(makeJob(number, { steps: [makeStep({ count: 4 })] }))
}

/** Advances the clock until this number of workers have crashed under the task, for at most a minute. */
async function waitForCrashes (simulation: GraphSimulation, clock: Clock, task: string, count: number): Promise<void> {
  for (let waitedMs = 0; waitedMs < 60_000 && simulation.checker.countCrashes(task) < count; waitedMs += 50) await clock.tickAsync(50)
}

test.serial('a task that crashes worker after worker is given up, and the other jobs complete', async t => {
  const { violations, simulation } = await runScenario(WORKERS, async simulation => {
    submitOtherJobs(simulation)
    void simulation.submit(makeJob(1, { crashingTasks: ['0.0.0'] }))
  })
  t.deepEqual(violations, [])
  t.is(simulation.states.get(CRASHING)?.phase, JobPhase.failed)
  for (let number = 10; number < 16; number++) t.is(simulation.states.get(makeId(number))?.phase, JobPhase.completed)
})

test.serial('the number of workers that crashed under a task outlasts the planner', async t => {
  const { violations, simulation } = await runScenario(WORKERS, async (simulation, clock) => {
    submitOtherJobs(simulation)
    void simulation.submit(makeJob(1, { crashingTasks: ['0.0.0'] }))
    for (const count of [1, 2, 3]) {
      await waitForCrashes(simulation, clock, `${CRASHING}.0.0.0`, count)
      simulation.restartNode(simulation.findPlanner(), 500)
    }
  })
  t.deepEqual(violations, [])
  t.is(simulation.states.get(CRASHING)?.phase, JobPhase.failed)
})

test.serial('a crash while the store is unavailable counts', async t => {
  const { violations, simulation } = await runScenario(WORKERS, async (simulation, clock) => {
    void simulation.submit(makeJob(1, { crashingTasks: ['0.0.0'] }))
    await waitForCrashes(simulation, clock, `${CRASHING}.0.0.0`, 2)
    simulation.setStoreDown(true)
    await clock.tickAsync(5_000)
    simulation.setStoreDown(false)
  })
  t.deepEqual(violations, [])
  t.is(simulation.states.get(CRASHING)?.phase, JobPhase.failed)
  t.true(simulation.checker.countCrashes(`${CRASHING}.0.0.0`) <= 3)
})

test.serial('one member that crashes its worker makes the job of a gang fail after as many crashes as a single task', async t => {
  const { violations, simulation } = await runScenario(WORKERS, async simulation => {
    void simulation.submit(makeJob(1, { steps: [makeStep({ count: 6, accelerators: 4, isGang: true })], crashingTasks: ['0.0.2'] }))
    submitOtherJobs(simulation)
  })
  t.deepEqual(violations, [])
  t.is(simulation.states.get(CRASHING)?.phase, JobPhase.failed)
})

test.serial('no job is given up when workers go down and up by themselves', async t => {
  const { violations, simulation } = await runScenario(WORKERS, async (simulation, clock) => {
    submitOtherJobs(simulation)
    void simulation.submit(makeJob(2, { steps: [makeStep({ count: 4, accelerators: 4, isGang: true })] }))
    for (let round = 0; round < 12; round++) {
      simulation.crashWorker(0, 1_400)
      if (round % 2 === 0) simulation.crashWorker(1, 1_400)
      await clock.tickAsync(2_800)
    }
  })
  t.deepEqual(violations, [])
  for (const jobId of simulation.accepted) t.is(simulation.states.get(jobId)?.phase, JobPhase.completed)
})

test.serial('the crash for which a task is given up takes no runs of other jobs along', async t => {
  const { violations, simulation } = await runScenario(WORKERS, async simulation => {
    submitOtherJobs(simulation)
    void simulation.submit(makeJob(1, { crashingTasks: ['0.0.0'] }))
    void simulation.submit(makeJob(2, { crashingTasks: ['0.0.0'], steps: [makeStep({ accelerators: 2 })] }))
  })
  t.deepEqual(violations, [])
  for (const jobId of [CRASHING, makeId(2)]) {
    t.is(simulation.states.get(jobId)?.phase, JobPhase.failed)
    t.is(simulation.checker.crashCompany.get(`${jobId}.0.0.0`)?.at(-1), 0)
  }
})
