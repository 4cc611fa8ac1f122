/**
 * What the planner learns of run times from runs that end, and how it predicts the ends of others.
 */
import { RunTimeEstimator } from '@dragonflylever/core/graphs/index'
import type { GraphPlannerOptions, SpeedSource, StepSpec } from '@dragonflylever/core/graphs/index'
import test from 'ava'

import { PlannerHarness, makeStep } from './plannerHarness.js'

/** Speeds of which the planner knows that the second worker is twice as slow. */
const SPEEDS: SpeedSource = { hasDifferences: true, getFactor: workerId => workerId === 'w01' ? 2 : 1 }

/** A planner with a rack of two workers and another of two; `estimator` is the planner's own. */
function createHarness (overrides: Partial<GraphPlannerOptions> = {}): { readonly harness: PlannerHarness, readonly estimate: () => number } {
  let estimator: RunTimeEstimator | undefined
  const harness = new PlannerHarness([2, 2], {
    ...overrides,
    createOrder: runTimes => {
      estimator = runTimes
      return { sort: steps => [...steps] }
    }
  })
  const estimate = (): number => {
    harness.addJob(`e${harness.now}`, [makeStep({ estimatedMs: 10_000 })])
    const step = harness.planner.getJob(`e${harness.now}`)?.occurrences.get(0)?.[0]
    return step === undefined ? NaN : estimator?.estimateRunTime(step) ?? NaN
  }
  return { harness, estimate }
}

/** Runs jobs of one step until their estimate has settled; the speeds of their tasks are set by `setSpeeds`. */
function runJobs (harness: PlannerHarness, spec: Partial<StepSpec>, ranMs: number, setSpeeds: (job: string) => void = () => {}): void {
  for (let count = 0; count < 20; count++) {
    harness.addJob(`j${count}`, [makeStep({ estimatedMs: 10_000, ...spec })])
    harness.run(200)
    setSpeeds(`j${count}`)
    harness.run(ranMs - 100)
    for (let index = 0; index < (spec.count ?? 1); index++) harness.endRun(`j${count}.0.0.${index}`, 'done')
    harness.run(200)
  }
}

function isNear (value: number, expected: number): boolean {
  return Math.abs(Math.log(value / expected)) < 0.25
}

test('the time of a gang is freed from its slowest member by the members\' own progress', t => {
  const { harness, estimate } = createHarness()
  runJobs(harness, { count: 2, accelerators: 8, isGang: true, isSameRack: true }, 8_000, job => {
    harness.setSpeed(`${job}.0.0.0`, 20)
    harness.setSpeed(`${job}.0.0.1`, 80)
  })
  t.true(isNear(estimate(), 4_400), `${estimate()}`)
})

test('the time of a gang without known progress is divided by the factor of its slowest member', t => {
  const { harness, estimate } = createHarness({ speeds: SPEEDS })
  runJobs(harness, { count: 2, accelerators: 8, isGang: true, dataRack: 'r0' }, 4_000)
  t.true(isNear(estimate(), 2_000), `${estimate()}`)
})

test('without differences of speed, the time of a gang is taken as it is', t => {
  const { harness, estimate } = createHarness({ speeds: { ...SPEEDS, hasDifferences: false } })
  runJobs(harness, { count: 2, accelerators: 8, isGang: true, dataRack: 'r0' }, 4_000)
  t.true(isNear(estimate(), 4_000), `${estimate()}`)
})

test('the time of a run in another rack than its data counts as that near the data', t => {
  const { harness, estimate } = createHarness()
  runJobs(harness, { dataRack: 'elsewhere' }, 6_000)
  t.true(isNear(estimate(), 2_000), `${estimate()}`)
})

test('a run that an earlier planner started is learned by its progress, if that is known', t => {
  const { harness, estimate } = createHarness()
  harness.addJob('j', [makeStep({ estimatedMs: 10_000 })])
  harness.run(300)
  harness.replacePlanner()
  harness.setSpeed('j.0.0.0', 40)
  harness.run(300)
  harness.endRun('j.0.0.0', 'done')
  harness.run(200)
  t.true(estimate() < 9_500, `${estimate()}`)
})

test('a task that takes several times as long as others of its queue is noted as unusual', t => {
  const { harness } = createHarness()
  runJobs(harness, {}, 1_000)
  const before = harness.listNotes('task took unusually long').length
  harness.addJob('long', [makeStep({ estimatedMs: 10_000 })])
  harness.run(7_000)
  harness.endRun('long.0.0.0', 'done')
  harness.run(200)
  t.deepEqual(harness.listNotes('task took unusually long').slice(before).map(note => note['task']), ['long.0.0.0'])
})

test('a run ends as the speed that its agent measured predicts', t => {
  const { harness } = createHarness()
  for (const worker of ['a', 'b', 'c', 'd']) harness.addJob(worker, [makeStep({ accelerators: 8, estimatedMs: 600_000 })])
  harness.run(300)
  for (const job of ['a', 'b', 'c', 'd']) {
    harness.setSpeed(`${job}.0.0.0`, 30)
    harness.setPercent(`${job}.0.0.0`, 9)
  }
  for (const worker of harness.workers) Object.assign(worker, { isDraining: true, drainLeftMs: 4_000 })
  harness.run(300)
  t.is(harness.listNotes('run stopping').length, 0)
})
