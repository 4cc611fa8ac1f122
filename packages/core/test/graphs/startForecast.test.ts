/**
 * When a job that arrives now would start, by the free capacity of its shape, the ends of runs and the waiting work before it.
 */
import type { JobGraph, StartTimes, StepSpec } from '@dragonflylever/core/graphs/index'
import test from 'ava'
import fc from 'fast-check'

import { PlannerHarness, makeQueue, makeStep } from './plannerHarness.js'

const RUN_MS = 5_000

function predict (harness: PlannerHarness, step: Partial<StepSpec>, overrides: Partial<JobGraph> = {}): StartTimes {
  const graph = { id: 'new', organisation: 'o', queue: makeQueue(), payload: '', steps: [makeStep(step)], acceptedAt: harness.wallTime, ...overrides }
  return harness.planner.createStartForecast(harness.now).predictStart(graph)
}

/** Creates a fleet whose workers each run one task of 5 s that takes `needs`, and lets it work for 1 s. */
function createBusyFleet (racks: readonly number[], needs: Partial<StepSpec> = { accelerators: 8 }): PlannerHarness {
  const harness = new PlannerHarness(racks)
  harness.run(200)
  harness.addJob('busy', [makeStep({ count: harness.workers.length, estimatedMs: RUN_MS, maxPerWorker: 1, ...needs })])
  harness.run(1_000)
  return harness
}

test('on a free fleet a job starts at once, and a shape that no worker can hold never starts', t => {
  const harness = new PlannerHarness([2])
  harness.run(200)
  t.deepEqual(predict(harness, { accelerators: 8, count: 2, isGang: true }), { optimisticMs: 0, expectedMs: 0 })
  t.deepEqual(predict(harness, { accelerators: 9 }), { optimisticMs: Infinity, expectedMs: Infinity })
})

test('on a full fleet a job waits for the predicted ends of runs, in the optimistic forecast half as long', t => {
  const { optimisticMs, expectedMs } = predict(createBusyFleet([2]), { accelerators: 1 })
  t.true(expectedMs > RUN_MS - 1_500 && expectedMs < RUN_MS)
  t.is(optimisticMs, expectedMs / 2)
})

// A task that lasts was forecast to end once it had run for its declared time.
test('on a fleet full of lasting work a job is not expected to start, but it is not refused either, since that work may be cancelled', t => {
  const harness = createBusyFleet([2], { accelerators: 8, isLongRunning: true })
  harness.run(2 * RUN_MS)
  t.deepEqual(predict(harness, { accelerators: 1 }), { optimisticMs: 0, expectedMs: Infinity })
})

// A prediction that had passed was repeated as "now" for as long as the run went on.
test('a run that is overdue is expected to take as long again', t => {
  const harness = createBusyFleet([1])
  harness.run(RUN_MS + 1_000)
  const { expectedMs } = predict(harness, {})
  t.true(expectedMs > 1_500 && expectedMs <= 2_000, String(expectedMs))
})

// The end that the speed of a run promised stayed the same while the run stood still, and then was "now".
test('a gang of which a member has stalled still has all of the rest to do', t => {
  const harness = createBusyFleet([2], { accelerators: 8, isGang: true })
  for (let percent = 20; percent <= 60; percent += 2) {
    for (const member of ['busy.0.0.0', 'busy.0.0.1']) harness.setPercent(member, percent)
    harness.run(100)
  }
  for (let percent = 62; percent <= 99; percent += 2) {
    harness.setPercent('busy.0.0.0', percent)
    harness.run(100)
  }
  harness.run(500)
  const { expectedMs } = predict(harness, {})
  t.true(expectedMs > 1_500 && expectedMs <= 2_500, String(expectedMs))
})

// Members that wait for the others at their end don't count as overdue.
test('a gang is expected to end with its slowest member, however long the others have waited', t => {
  const harness = createBusyFleet([2], { accelerators: 8, isGang: true, estimatedMs: 30_000 })
  for (let percent = 3; percent <= 99; percent += 3) {
    harness.setPercent('busy.0.0.0', percent)
    harness.setPercent('busy.0.0.1', percent / 3)
    harness.run(100)
  }
  for (let percent = 33; percent <= 90; percent++) {
    harness.setPercent('busy.0.0.1', percent)
    harness.run(300)
  }
  const { expectedMs } = predict(harness, {})
  t.true(expectedMs > 1_500 && expectedMs < 3_000, String(expectedMs))
})

test('capacity is counted by shape: a free accelerator is no use without memory, and a gang needs room for all its tasks', t => {
  const harness = createBusyFleet([2], { accelerators: 4, memoryMb: 500_000 })
  t.is(predict(harness, { accelerators: 4 }).expectedMs, 0)
  t.true(predict(harness, { accelerators: 4, memoryMb: 100_000 }).expectedMs > 0)
  t.is(predict(harness, { accelerators: 4, count: 2, isGang: true }).expectedMs, 0)
  t.true(predict(harness, { accelerators: 4, count: 3, isGang: true }).expectedMs > 0)
  t.is(predict(harness, { accelerators: 4, count: 3 }).expectedMs, 0, 'tasks outside a gang start one by one')
})

test('the rack rule delays the expected start of a gang that would fit across racks, but not the optimistic one', t => {
  const harness = createBusyFleet([2, 2], { accelerators: 4 })
  t.is(predict(harness, { accelerators: 4, count: 3, isGang: true }).expectedMs, 0)
  const { optimisticMs, expectedMs } = predict(harness, { accelerators: 4, count: 3, isGang: true, isSameRack: true })
  t.is(optimisticMs, 0)
  t.true(expectedMs > 0)
})

// A job was refused as one that starts too late although its tasks can run in turns.
test('a job whose step should run in one rack, but is no gang, is forecast to start as soon as one of its tasks fits', t => {
  const harness = createBusyFleet([1, 1])
  harness.addJob('free', [makeStep()])
  const wide = { accelerators: 4, count: 14, isSameRack: true }
  const single = predict(harness, { accelerators: 4 })
  t.deepEqual(predict(harness, wide), single)
})

test('waiting work that goes before a job delays it; work that goes after it does not', t => {
  const harness = createBusyFleet([1])
  const before = predict(harness, { accelerators: 8 }).expectedMs
  harness.addJob('waiting', [makeStep({ count: 4, accelerators: 8, estimatedMs: RUN_MS })])
  harness.run(200)
  const urgent = { queue: makeQueue({ name: 'urgent', priority: 0 }) }
  t.true(predict(harness, { accelerators: 8, count: 10 }).expectedMs >= before + 4 * RUN_MS - 1_000)
  t.true(predict(harness, { accelerators: 8 }, urgent).expectedMs <= before)
  t.true(predict(harness, { accelerators: 8 }, urgent).optimisticMs <= 400, 'urgent work may take capacity back')
})

const shape = fc.record({ count: fc.integer({ min: 1, max: 12 }), accelerators: fc.constantFrom(1, 2, 4, 8), memoryMb: fc.constantFrom(1_000, 100_000), isGang: fc.boolean(), isSameRack: fc.boolean(), estimatedMs: fc.integer({ min: 100, max: 10_000 }) })

test('a job that needs no less than another one of its queue and is no less work is not forecast to start earlier by the optimistic forecast', t => {
  fc.assert(fc.property(fc.array(shape, { maxLength: 8 }), shape, shape, fc.constantFrom(0, 1), (jobs, first, second, priority) => {
    const harness = new PlannerHarness([2, 2])
    harness.run(200)
    for (const [index, step] of jobs.entries()) harness.addJob(`j${index}`, [makeStep(step)])
    harness.run(500)
    const larger = { ...first, count: Math.max(first.count, second.count), accelerators: Math.max(first.accelerators, second.accelerators), memoryMb: Math.max(first.memoryMb, second.memoryMb), estimatedMs: Math.max(first.estimatedMs, second.estimatedMs) }
    const queue = makeQueue({ priority })
    t.true(predict(harness, larger, { queue }).optimisticMs >= predict(harness, first, { queue }).optimisticMs - 1e-6)
  }), { seed: 51, numRuns: 300, endOnFailure: true })
})
