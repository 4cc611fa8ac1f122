/**
 * Guards against LOST of review case 13: two jobs with thousands of steps that could never start made each pass of the planner take seconds, so that it
 * lost its leadership and no later job started. Work is counted rather than timed: checks of a worker for a step, and estimates of run times.
 */
import { GraphPlanner, ObjectiveOrder, RunTimeEstimator } from '@dragonflylever/core/graphs/index'
import type { StepSpec } from '@dragonflylever/core/graphs/index'
import test from 'ava'

import { PlannerHarness, TIMES, makeQueue, makeStep } from './plannerHarness.js'

const HOPELESS: Partial<StepSpec> = { accelerators: 0, requiredLabel: 'none' }
/** Steps of the largest job of the sheets, many times over. */
const STEPS = 4_400
const MAX_CHECKS_PER_JOB_AND_WORKER = 200
/** The same for a job whose steps are all alike. */
const MAX_CHECKS_OF_ALIKE_STEPS = 10

interface CountedHarness {
  readonly harness: PlannerHarness
  /** Returns the number of checks of workers since the last call. */
  readonly takeChecks: () => number
}

/** Creates a planner of which the checks of its workers' labels are counted. */
function createHarness (racks: readonly number[]): CountedHarness {
  const harness = new PlannerHarness(racks)
  let checks = 0
  const labels = new Proxy(['a'], {
    get: (target, property, receiver) => {
      if (property === 'includes') checks++
      return Reflect.get(target, property, receiver)
    }
  })
  const { report } = harness
  harness.report = worker => ({ ...report.call(harness, worker), labels })
  const takeChecks = (): number => {
    const taken = checks
    checks = 0
    return taken
  }
  return { harness, takeChecks }
}

/** Counts the estimates of run times in the passes of `ms` milliseconds. */
function countEstimates (steps: readonly StepSpec[], ms: number): number {
  let estimates = 0
  class CountingEstimator extends RunTimeEstimator {
    override estimateRunTime (...args: Parameters<RunTimeEstimator['estimateRunTime']>): number {
      estimates++
      return super.estimateRunTime(...args)
    }
  }
  const runTimes = new CountingEstimator()
  const harness = new PlannerHarness([2], { createOrder: () => new ObjectiveOrder({ runTimes, getWallTime: () => 0 }) })
  harness.addJob('a', steps)
  harness.run(ms)
  return estimates
}

test('two jobs of thousands of steps that can never start keep no other job from starting, and each pass looks at few of their steps', t => {
  const { harness, takeChecks } = createHarness([2])
  for (const id of ['poison-1', 'poison-2']) harness.addJob(id, Array.from({ length: STEPS }, () => makeStep(HOPELESS)))
  harness.run(300)
  harness.addJob('small', [makeStep()])
  takeChecks()
  harness.run(100)
  t.true(takeChecks() <= 2 * 2 * MAX_CHECKS_OF_ALIKE_STEPS)
  t.not(harness.findWorker('small.0.0.0'), undefined)
})

test('steps that can never start, each with other needs, cost a pass no more than a limited number of them', t => {
  const { harness, takeChecks } = createHarness([2])
  harness.addJob('poison', Array.from({ length: STEPS }, (_, index) => makeStep({ ...HOPELESS, cpuMillis: STEPS - index, estimatedMs: index })))
  harness.run(300)
  takeChecks()
  harness.run(100)
  t.true(takeChecks() <= 2 * MAX_CHECKS_PER_JOB_AND_WORKER)
})

test('a job is ranked once for all its waiting steps, and a large one not in each pass', t => {
  const count = (steps: number, ms: number): number => countEstimates(Array.from({ length: steps }, () => makeStep(HOPELESS)), ms)
  t.true(count(30, 100) <= 30)
  t.true(count(4_000, 1_000) <= 4_000)
})

test('a step with room starts although more steps of its job than a pass looks at stand before it and can never start', t => {
  const harness = new PlannerHarness([2])
  const hopeless = Array.from({ length: 1_000 }, (_, index) => makeStep({ ...HOPELESS, cpuMillis: 1_000 - index, estimatedMs: index }))
  harness.addJob('a', [...hopeless, makeStep()])
  harness.run(3_000)
  t.not(harness.findWorker('a.0.1000.0'), undefined)
})

test('all tasks of a wide step start, some hundred in a pass, and those of a step of many gangs start together', t => {
  const harness = new PlannerHarness([1])
  harness.addJob('wide', [makeStep({ count: 3_000, cpuMillis: 1, memoryMb: 1, accelerators: 0 })])
  harness.runTurn()
  const first = harness.workers[0]?.running.length ?? 0
  t.true(first > 100 && first < 1_000)
  harness.run(2_000)
  t.is(harness.workers[0]?.running.length, 3_000)
  harness.addJob('gang', [makeStep({ count: 1_500, cpuMillis: 1, memoryMb: 1, accelerators: 0, isGang: true })])
  harness.run(200)
  t.is(harness.workers[0]?.running.length, 4_500)
})

test('when the work of a pass is used up, the jobs that it has not reached come first in the next one', t => {
  const { harness, takeChecks } = createHarness([200])
  // Late jobs without value come last in the order.
  for (let job = 0; job < 60; job++) harness.addJob(`poison-${job}`, Array.from({ length: 100 }, (_, index) => makeStep({ ...HOPELESS, cpuMillis: 100 - index, estimatedMs: index })), { queue: makeQueue({ priority: 0 }) })
  harness.addJob('small', [makeStep()], { queue: makeQueue({ priority: 2, targetLatencyMs: 0 }), acceptedAt: harness.wallTime - 3_600_000 })
  let turns = 0
  while (harness.findWorker('small.0.0.0') === undefined && turns < 10) {
    takeChecks()
    harness.runTurn()
    harness.now += 100
    turns++
    t.true(takeChecks() < 900_000)
  }
  t.true(turns <= 8, `started after ${turns} passes`)
  t.true(harness.listNotes('pass ended early').length > 0)
})

test('a new job of thousands of steps is described in a short line of the log', t => {
  const lines: string[] = []
  const planner = new GraphPlanner({ times: TIMES, getWallTime: () => 0, log: { note: (event, fields) => { lines.push(JSON.stringify({ event, ...fields })) } } })
  planner.addJob({ id: 'a', organisation: 'o', queue: makeQueue(), payload: '', steps: Array.from({ length: STEPS }, () => makeStep()), acceptedAt: 0 }, undefined, 0)
  t.true(lines.every(line => line.length < 4_096))
})

// After a pass that has left work out the next one follows within 50 ms.
test('once nothing waits any more, no pass has left work out', t => {
  const harness = new PlannerHarness([2])
  harness.addJob('poison', Array.from({ length: 300 }, (_, index) => makeStep({ ...HOPELESS, cpuMillis: 300 - index, estimatedMs: index })))
  harness.run(300)
  t.false(harness.planner.plan(harness.now))
  harness.planner.cancelJob('poison', harness.now)
  t.true(harness.planner.plan(harness.now))
})
