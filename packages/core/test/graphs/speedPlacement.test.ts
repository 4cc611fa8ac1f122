/**
 * Tests the decisions that depend on the speed of workers. Each test sets up the load that needs one decision; without it, work ends late, or fast workers
 * are missing for work that needs them.
 */
import type { SpeedSource } from '@dragonflylever/core/graphs/index'
import test from 'ava'

import { CAPACITY, PlannerHarness, makeQueue, makeStep } from './plannerHarness.js'

const URGENT = makeQueue({ name: 'urgent', priority: 0, stretch: 1.5, targetLatencyMs: 600 })
const SLOW = 1.6
const FAST = 0.6

/** Creates workers by the factors of each rack; worker `wRI` is the one with index I of rack R. */
function makeHarness (racks: ReadonlyArray<readonly number[]>, hasDifferences = true): PlannerHarness {
  const speeds: SpeedSource = { hasDifferences, getFactor: id => racks[Number(id[1])]?.[Number(id[2])] ?? 1 }
  const harness = new PlannerHarness(racks.map(factors => factors.length), { speeds })
  harness.planner.setPolicy({ queues: [URGENT, makeQueue()], guarantees: [] })
  return harness
}

/** Returns the workers of the tasks of a job's only step, sorted and without duplicates. */
function listWorkers (harness: PlannerHarness, job: string): string[] {
  return harness.workers.filter(({ running }) => running.some(({ task }) => task.startsWith(`${job}.`))).map(({ id }) => id).sort()
}

/** Fills the given workers with runs that write no checkpoints, have worked for `ranMs` and list `percent`; the other workers stay empty. */
function fillWorkers (harness: PlannerHarness, ids: readonly string[], ranMs: number, percent = 0): void {
  const others = harness.workers.filter(({ id }) => !ids.includes(id))
  for (const worker of others) worker.isDraining = true
  for (const id of ids) harness.addJob(`fill-${id}`, [makeStep({ accelerators: 8, estimatedMs: 20_000 })])
  harness.run(ranMs)
  for (const id of ids) harness.setPercent(`fill-${id}.0.0.0`, percent)
  for (const worker of others) worker.isDraining = false
  harness.run(200)
}

test('a task takes the slowest worker that is fast enough for its objective', t => {
  const harness = makeHarness([[FAST, SLOW, 1]])
  harness.addJob('tight', [makeStep({ estimatedMs: 10_000 })], { queue: URGENT })
  harness.addJob('loose', [makeStep({ estimatedMs: 10_000 })])
  harness.run(300)
  t.deepEqual(listWorkers(harness, 'tight'), ['w02'])
  t.deepEqual(listWorkers(harness, 'loose'), ['w01'])
})

test('factors change nothing while the source reports no differences', t => {
  const harness = makeHarness([[SLOW, FAST, 1]], false)
  harness.addJob('tight', [makeStep({ estimatedMs: 10_000 })], { queue: URGENT })
  harness.run(300)
  t.deepEqual(listWorkers(harness, 'tight'), ['w00'])
})

test('the members of a gang take workers of the same speed, so that none waits for a slower one', t => {
  const harness = makeHarness([[SLOW, 1, 1]])
  harness.addJob('gang', [makeStep({ count: 2, accelerators: 8, isGang: true })])
  harness.run(300)
  t.deepEqual(listWorkers(harness, 'gang'), ['w01', 'w02'])
})

test('a gang goes to the rack in which its slowest member meets the objective, but not across racks for the sake of speed', t => {
  const harness = makeHarness([[FAST, SLOW], [1, 1], [FAST, SLOW]])
  const gang = makeStep({ count: 2, accelerators: 8, isGang: true, isSameRack: true, estimatedMs: 10_000 })
  harness.addJob('first', [gang], { queue: URGENT })
  harness.run(300)
  t.deepEqual(listWorkers(harness, 'first'), ['w10', 'w11'])
  harness.addJob('second', [gang], { queue: URGENT })
  harness.run(300)
  t.is(new Set(listWorkers(harness, 'second').map(id => id[1])).size, 1)
})

test('work that is late in any case leaves fast workers to work that can be in time', t => {
  const harness = makeHarness([[FAST, SLOW]])
  harness.addJob('late', [makeStep({ estimatedMs: 10_000 })], { queue: URGENT, acceptedAt: harness.wallTime - 12_000 })
  harness.run(300)
  t.deepEqual(listWorkers(harness, 'late'), ['w01'])
})

test('a gang that is slow because it needs several racks still starts, on the fastest workers', t => {
  const harness = makeHarness([[SLOW, 1], [1, 1]])
  harness.addJob('wide', [makeStep({ count: 3, accelerators: 8, isGang: true, isSameRack: true, estimatedMs: 10_000 })], { queue: URGENT })
  harness.run(300)
  t.deepEqual(listWorkers(harness, 'wide'), ['w01', 'w10', 'w11'])
})

test('where memory is what binds, tasks take the slow workers first and then the next ones', t => {
  const harness = makeHarness([[1, SLOW]])
  for (const worker of harness.workers) worker.capacity = { ...CAPACITY, memoryMb: 131_072 }
  harness.addJob('job', [makeStep({ count: 8, memoryMb: 20_480, estimatedMs: 10_000 })])
  harness.run(300)
  t.deepEqual(harness.workers.map(({ running }) => running.length), [2, 6])
})

test('a step waits for a faster worker that becomes free in time instead of starting on a slow one', t => {
  const harness = makeHarness([[1, SLOW]])
  fillWorkers(harness, ['w00'], 19_000, 95)
  harness.addJob('tight', [makeStep({ accelerators: 8, estimatedMs: 10_000 })], { queue: URGENT })
  harness.run(500)
  t.deepEqual(listWorkers(harness, 'tight'), [])
  harness.endRun('fill-w00.0.0.0', 'done')
  harness.run(300)
  t.deepEqual(listWorkers(harness, 'tight'), ['w00'])
})

test('a step starts on a slow worker when no faster one becomes free in time', t => {
  const harness = makeHarness([[1, SLOW]])
  fillWorkers(harness, ['w00'], 10_000, 50)
  harness.addJob('tight', [makeStep({ accelerators: 8, estimatedMs: 3_500 })], { queue: makeQueue({ stretch: 1.5, targetLatencyMs: 300 }) })
  harness.run(300)
  t.deepEqual(listWorkers(harness, 'tight'), ['w01'])
})

test('urgent work reclaims a faster worker although a slow one is free, if the stop loses little', t => {
  const harness = makeHarness([[1, SLOW]])
  fillWorkers(harness, ['w00'], 1_000)
  harness.addJob('tight', [makeStep({ accelerators: 8, estimatedMs: 10_000 })], { queue: URGENT })
  harness.run(1_500)
  t.deepEqual(listWorkers(harness, 'tight'), ['w00'])
})

test('urgent work reclaims no capacity at workers that are too slow for it', t => {
  const harness = makeHarness([[SLOW], [SLOW]])
  fillWorkers(harness, ['w00', 'w10'], 500)
  harness.addJob('tight', [makeStep({ accelerators: 8, estimatedMs: 10_000 })], { queue: URGENT })
  harness.run(1_500)
  t.deepEqual(listWorkers(harness, 'tight'), [])
  t.is(harness.listNotes('capacity taken back').length, 0)
})

test('work that a guarantee covers reclaims a slow worker when there is no faster one', t => {
  const harness = makeHarness([[SLOW], [SLOW]])
  harness.planner.setPolicy({ queues: [URGENT, makeQueue()], guarantees: [{ organisation: 'covered', accelerators: 8 }] })
  fillWorkers(harness, ['w00', 'w10'], 500)
  harness.addJob('tight', [makeStep({ accelerators: 8, estimatedMs: 10_000 })], { queue: URGENT, organisation: 'covered' })
  harness.run(1_500)
  t.is(listWorkers(harness, 'tight').length, 1)
})

test('work that a guarantee covers reclaims slower slots when faster ones cost more than ending in time is worth', t => {
  const harness = makeHarness([[1, SLOW]])
  harness.planner.setPolicy({ queues: [URGENT, makeQueue()], guarantees: [{ organisation: 'covered', accelerators: 8 }] })
  fillWorkers(harness, ['w00'], 12_000, 60)
  harness.addJob('young', [makeStep({ accelerators: 8, estimatedMs: 20_000 })])
  harness.run(200)
  harness.addJob('tight', [makeStep({ accelerators: 8, estimatedMs: 4_000 })], { queue: URGENT, organisation: 'covered' })
  harness.run(1_500)
  t.deepEqual(listWorkers(harness, 'tight'), ['w01'])
})

test('a run without known progress is expected to end later on a slow worker', t => {
  for (const [factor, isWaiting] of [[1, true], [SLOW, false]] as const) {
    const harness = makeHarness([[factor, SLOW]])
    fillWorkers(harness, ['w00'], 19_000)
    harness.addJob('tight', [makeStep({ accelerators: 8, estimatedMs: 10_000 })], { queue: makeQueue({ ...URGENT, priority: 1 }) })
    harness.run(300)
    t.is(listWorkers(harness, 'tight').length === 0, isWaiting, `factor ${factor}`)
  }
})

test('a worker at which jobs fail comes last, however well its speed suits', t => {
  const harness = makeHarness([[SLOW, 1]])
  harness.addJob('failing', [makeStep({ estimatedMs: 10_000 })])
  harness.run(200)
  t.deepEqual(listWorkers(harness, 'failing'), ['w00'])
  harness.endRun('failing.0.0.0', 'failed')
  harness.run(200)
  t.deepEqual(listWorkers(harness, 'failing'), ['w01'])
  harness.addJob('next', [makeStep({ estimatedMs: 10_000 })])
  harness.run(200)
  t.deepEqual(listWorkers(harness, 'next'), ['w01'])
})
