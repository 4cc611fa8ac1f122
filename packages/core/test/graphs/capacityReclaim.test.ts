/**
 * Tests when urgent work waits for slots to become free, which runs are stopped for it, and how much work may be lost. Each test sets up
 * the load that needs one decision.
 */
import test from 'ava'

import { PlannerHarness, makeQueue, makeStep } from './plannerHarness.js'

const URGENT = makeQueue({ name: 'urgent', priority: 0, stretch: 1.5, targetLatencyMs: 600 })

test('guaranteed work reclaims capacity from borrowers with the least work lost', t => {
  const harness = new PlannerHarness([2])
  harness.planner.setPolicy({ queues: [URGENT, makeQueue()], guarantees: [{ organisation: 'o', accelerators: 8 }] })
  harness.addJob('old', [makeStep({ accelerators: 8, estimatedMs: 20_000 })])
  harness.run(5_000)
  harness.addJob('young', [makeStep({ accelerators: 8, estimatedMs: 20_000 })])
  harness.run(500)
  harness.addJob('urgent', [makeStep({ accelerators: 8, estimatedMs: 2_000 })], { queue: URGENT })
  harness.run(2_900)
  t.truthy(harness.findWorker('urgent.0.0.0'))
  t.truthy(harness.findWorker('old.0.0.0'))
  t.is(harness.findWorker('young.0.0.0'), undefined)
})

test('guaranteed work is placed before urgent work beyond a guarantee, and reclaims capacity from it', t => {
  const harness = new PlannerHarness([2])
  harness.planner.setPolicy({ queues: [], guarantees: [{ organisation: 'o', accelerators: 8 }, { organisation: 'large', accelerators: 8 }] })
  harness.addJob('large', [makeStep({ count: 3, accelerators: 8 })], { queue: URGENT, organisation: 'large' })
  harness.run(500)
  t.is(harness.workers.filter(worker => worker.running.length > 0).length, 2)
  harness.addJob('urgent', [makeStep({ count: 4, accelerators: 2, isGang: true })], { queue: URGENT })
  harness.run(2_800)
  t.is(['urgent.0.0.0', 'urgent.0.0.1', 'urgent.0.0.2', 'urgent.0.0.3'].filter(task => harness.findWorker(task) !== undefined).length, 4)
  t.is(harness.listNotes('capacity taken back').length, 1)
})

test('guaranteed work waits for a slot that becomes free in time instead of stopping other work', t => {
  const harness = new PlannerHarness([1])
  harness.planner.setPolicy({ queues: [URGENT, makeQueue()], guarantees: [{ organisation: 'o', accelerators: 8 }] })
  harness.addJob('old', [makeStep({ accelerators: 8, estimatedMs: 10_000 })])
  harness.run(9_500)
  harness.setPercent('old.0.0.0', 95)
  harness.run(200)
  harness.addJob('urgent', [makeStep({ accelerators: 8, estimatedMs: 4_000 })], { queue: URGENT })
  harness.run(600)
  t.truthy(harness.findWorker('old.0.0.0'))
  harness.endRun('old.0.0.0', 'done')
  harness.run(300)
  t.truthy(harness.findWorker('urgent.0.0.0'))
  t.is(harness.listNotes('capacity taken back').length, 0)
})

// A task that lasts was expected to end once it had run for its declared time, so that guaranteed work waited 2.6 s for it.
test('guaranteed work does not wait for tasks that last', t => {
  const harness = new PlannerHarness([2])
  harness.planner.setPolicy({ queues: [URGENT, makeQueue()], guarantees: [{ organisation: 'o', accelerators: 8 }] })
  harness.addJob('lasting', [makeStep({ count: 2, maxPerWorker: 1, estimatedMs: 1_000, isLongRunning: true })])
  harness.run(500)
  harness.addJob('others', [makeStep({ count: 14, estimatedMs: 20_000 })])
  harness.run(10_000)
  harness.addJob('urgent', [makeStep({ count: 2, estimatedMs: 2_000 })], { queue: URGENT })
  harness.run(700)
  t.truthy(harness.findWorker('urgent.0.0.0'))
  t.truthy(harness.findWorker('urgent.0.0.1'))
})

// A run that was to stop counted as soon ended for as long as its worker did not stop it, so that guaranteed work waited for its slots forever.
test('guaranteed work reclaims capacity elsewhere when a worker does not stop its run', t => {
  const harness = new PlannerHarness([2])
  harness.planner.setPolicy({ queues: [URGENT, makeQueue()], guarantees: [{ organisation: 'o', accelerators: 8 }] })
  harness.addJob('old', [makeStep({ accelerators: 8, estimatedMs: 60_000 })])
  harness.run(5_000)
  harness.addJob('young', [makeStep({ accelerators: 8, estimatedMs: 60_000 })])
  harness.run(500)
  const stuck = harness.findWorker('young.0.0.0')
  if (stuck !== undefined) stuck.ignoresStops = true
  const other = harness.findWorker('old.0.0.0')
  harness.addJob('urgent', [makeStep({ accelerators: 8, estimatedMs: 2_000 })], { queue: URGENT })
  harness.run(4_000)
  t.is(harness.findWorker('young.0.0.0'), stuck)
  t.is(harness.findWorker('urgent.0.0.0'), other)
})

test('a new planner predicts the end of runs that an earlier planner started by their observed speed', t => {
  const harness = new PlannerHarness([1])
  harness.planner.setPolicy({ queues: [], guarantees: [{ organisation: 'o', accelerators: 8 }] })
  harness.addJob('old', [makeStep({ accelerators: 8, estimatedMs: 10_000 })])
  for (let percent = 0; percent <= 50; percent += 1) {
    harness.run(100)
    harness.setPercent('old.0.0.0', percent)
  }
  harness.replacePlanner()
  harness.planner.setPolicy({ queues: [], guarantees: [{ organisation: 'o', accelerators: 8 }] })
  for (let percent = 51; percent <= 60; percent++) {
    harness.run(100)
    harness.setPercent('old.0.0.0', percent)
  }
  // The run needs 4 s more, longer than guaranteed work may wait, so it is stopped at once.
  harness.addJob('urgent', [makeStep({ accelerators: 8, estimatedMs: 20_000 })], { queue: URGENT })
  harness.run(300)
  t.is(harness.listNotes('capacity taken back').length, 1)
  t.true(Number(harness.listNotes('capacity taken back')[0]?.['loss']) > 300)
})

test('a new planner learns no run time from a run that an earlier planner started', t => {
  const harness = new PlannerHarness([1])
  harness.addJob('old', [makeStep({ accelerators: 8, estimatedMs: 10_000 })])
  harness.run(9_900)
  harness.replacePlanner()
  harness.run(200)
  harness.endRun('old.0.0.0', 'done')
  harness.run(200)
  // The next job needs about 2.1 s more, longer than guaranteed work may wait. A learned run time of 0.2 s would shorten the prediction.
  harness.planner.setPolicy({ queues: [], guarantees: [{ organisation: 'o', accelerators: 8 }] })
  harness.addJob('next', [makeStep({ accelerators: 8, estimatedMs: 2_400 })])
  harness.run(300)
  harness.addJob('urgent', [makeStep({ accelerators: 8, estimatedMs: 20_000 })], { queue: URGENT })
  harness.run(200)
  t.is(harness.listNotes('capacity taken back').length, 1)
})

test('urgent work beyond its guarantee stops runs that write checkpoints, but no runs whose stop would lose much work', t => {
  const harness = new PlannerHarness([1])
  harness.planner.setPolicy({ queues: [URGENT, makeQueue()], guarantees: [] })
  harness.addJob('saved', [makeStep({ accelerators: 8, estimatedMs: 20_000, isCheckpointing: true })])
  harness.run(8_000)
  harness.addJob('urgent', [makeStep({ accelerators: 8, estimatedMs: 3_000 })], { queue: URGENT })
  harness.run(2_000)
  t.truthy(harness.findWorker('urgent.0.0.0'))
  harness.endRun('urgent.0.0.0', 'done')
  harness.planner.cancelJob('saved', harness.now)
  harness.run(1_000)
  harness.addJob('unsaved', [makeStep({ accelerators: 8, estimatedMs: 20_000 })])
  harness.run(8_000)
  harness.addJob('next', [makeStep({ accelerators: 8, estimatedMs: 3_000 })], { queue: URGENT })
  harness.run(2_000)
  t.is(harness.findWorker('next.0.0.0'), undefined)
})

test('large urgent work beyond its guarantee may stop more work than small urgent work, and only little work once it is late in any case', t => {
  const harness = new PlannerHarness([4])
  harness.planner.setPolicy({ queues: [], guarantees: [] })
  const urgent = { queue: URGENT }
  for (const id of ['a', 'b', 'c', 'd']) {
    harness.addJob(id, [makeStep({ estimatedMs: 3_000 })], urgent)
    harness.run(3_000)
    harness.endRun(`${id}.0.0.0`, 'done')
    harness.run(200)
  }
  harness.addJob('old', [makeStep({ count: 4, accelerators: 8, estimatedMs: 30_000 })])
  harness.run(3_000)
  harness.addJob('small', [makeStep({ accelerators: 8, estimatedMs: 400 })], urgent)
  harness.run(300)
  harness.addJob('large', [makeStep({ count: 2, accelerators: 8, isGang: true, estimatedMs: 9_000 })], urgent)
  harness.run(3_000)
  t.truthy(harness.findWorker('large.0.0.0'))
  t.deepEqual(harness.listNotes('capacity taken back').map(note => note['step']), ['large.0.0'])
})

test('a guaranteed job stops a run of a non-urgent job rather than one of an urgent job, even if the stop discards more run time', t => {
  const harness = new PlannerHarness([2])
  harness.planner.setPolicy({ queues: [], guarantees: [{ organisation: 'o', accelerators: 8 }] })
  harness.addJob('plain', [makeStep({ accelerators: 8, estimatedMs: 30_000 })], { organisation: 'large' })
  harness.run(15_000)
  harness.addJob('beyond', [makeStep({ accelerators: 8, estimatedMs: 30_000 })], { queue: URGENT, organisation: 'large' })
  harness.run(300)
  harness.addJob('covered', [makeStep({ accelerators: 8, estimatedMs: 3_000 })], { queue: URGENT })
  harness.run(2_900)
  t.truthy(harness.findWorker('covered.0.0.0'))
  t.truthy(harness.findWorker('beyond.0.0.0'))
})

test('guaranteed work waits for a slot that becomes free within the maximum reclaim time, even if the work is then late, when a stop would lose much work', t => {
  const harness = new PlannerHarness([1])
  harness.planner.setPolicy({ queues: [URGENT, makeQueue()], guarantees: [{ organisation: 'o', accelerators: 8 }] })
  harness.addJob('old', [makeStep({ accelerators: 8, estimatedMs: 20_000 })])
  harness.run(18_500)
  harness.setPercent('old.0.0.0', 93)
  harness.run(200)
  harness.addJob('urgent', [makeStep({ accelerators: 8, estimatedMs: 500 })], { queue: URGENT })
  harness.run(1_200)
  t.truthy(harness.findWorker('old.0.0.0'))
  harness.endRun('old.0.0.0', 'done')
  harness.run(300)
  t.truthy(harness.findWorker('urgent.0.0.0'))
  t.is(harness.listNotes('capacity taken back').length, 0)
})

test('urgent work beyond its guarantee may stop as much work as fits the size of its jobs, on fleets with small and with large jobs', t => {
  // A task on a host with 128 cores is worth more core-seconds than one on a host with 8; the same share of each must be allowed.
  for (const cpuMillis of [4_000, 120_000]) {
    const harness = new PlannerHarness([1])
    harness.planner.setPolicy({ queues: [], guarantees: [] })
    harness.addJob('old', [makeStep({ accelerators: 8, cpuMillis, estimatedMs: 20_000 })])
    // The run has worked for half as long as an urgent job takes, and loses that.
    harness.run(5_000)
    harness.addJob('urgent', [makeStep({ accelerators: 8, cpuMillis, estimatedMs: 10_000 })], { queue: makeQueue({ name: 'urgent', priority: 0, stretch: 1.5, targetLatencyMs: 600 }) })
    harness.run(3_000)
    t.truthy(harness.findWorker('urgent.0.0.0'), `${cpuMillis} millis`)
  }
})
