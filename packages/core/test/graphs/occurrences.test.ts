/**
 * Repeated jobs that are overdue by many occurrences: with 2,000 the planner started nothing more, of any job, and with 1,000,000 its process ran out of memory, as did that of each planner
 * elected after it.
 */
import test from 'ava'

import { PlannerHarness, makeQueue, makeStep } from './plannerHarness.js'

const SMALL_STEP = makeStep({ accelerators: 1, cpuMillis: 1, memoryMb: 1 })
/** Number of turns after which each repeated job of these tests has been run by 8 slots. */
const MAX_TURNS = 400

/** Ends all runs as done, and counts the ends of each task in `ends`. */
function endRuns (harness: PlannerHarness, ends: Map<string, number>): void {
  for (const worker of harness.workers) {
    for (const { task } of [...worker.running]) {
      harness.endRun(task, 'done')
      ends.set(task, (ends.get(task) ?? 0) + 1)
    }
  }
}

test('a job that is overdue by a million occurrences is run a part at a time, and the other jobs are planned', t => {
  const harness = new PlannerHarness([1])
  harness.addJob('a', [SMALL_STEP], { repeat: { count: 1_000_000, intervalMs: 0, firstRunAt: 0 } })
  harness.run(500)
  harness.addJob('b', [SMALL_STEP], { queue: makeQueue({ name: 'urgent', priority: 0 }) })
  const ends = new Map<string, number>()
  for (let turn = 0; turn < 60; turn++) {
    harness.run(100)
    endRuns(harness, ends)
  }
  t.is(harness.planner.getJob('b')?.phase, 'completed')
  t.true(ends.size > 200)
  t.true((harness.planner.getJob('a')?.occurrences.size ?? Infinity) <= 1_200)
  t.true((harness.records.get('a')?.length ?? Infinity) < 256 * 1024)
})

test('each occurrence of an overdue job runs once, also when the planner is replaced in between', t => {
  const harness = new PlannerHarness([1])
  const count = 1_300
  harness.addJob('a', [SMALL_STEP], { repeat: { count, intervalMs: 0, firstRunAt: 0 } })
  const ends = new Map<string, number>()
  let turns = 0
  for (; turns < MAX_TURNS && harness.planner.getJob('a')?.phase !== 'completed'; turns++) {
    harness.run(100)
    endRuns(harness, ends)
    if (turns % 40 === 39) {
      harness.run(100)
      harness.replacePlanner()
    }
  }
  t.is(harness.planner.getJob('a')?.phase, 'completed')
  t.is(ends.size, count)
  t.deepEqual([...ends.values()].filter(number => number !== 1), [])
})

/** Ends the runs of one occurrence of a job as done, each member of a gang by itself. */
function endOccurrence (harness: PlannerHarness, occurrence: number): void {
  const running = harness.workers.flatMap(worker => worker.running.map(({ task }) => task))
  for (const task of running.filter(name => name.startsWith(`a.${occurrence}.`))) harness.endRun(task, 'done')
}

// MIXED: a repeated job of gangs was shown as completed after its first occurrence, since each member of the gang counted as one occurrence.
test('a repeated job of gangs is completed only once all its occurrences are done', t => {
  const harness = new PlannerHarness([3])
  harness.addJob('a', [makeStep({ count: 3, isGang: true, accelerators: 2 })], { repeat: { count: 3, intervalMs: 0, firstRunAt: 0 } })
  harness.run(300)
  for (const occurrence of [1, 2, 0]) {
    t.is(harness.planner.getJob('a')?.phase, 'running')
    endOccurrence(harness, occurrence)
    harness.run(300)
  }
  t.is(harness.planner.getJob('a')?.phase, 'completed')
})

// MIXED: occurrences that are not due yet are not created either, and none of those that exist is left to be done.
test('a repeated job with occurrences that are not due yet is not completed', t => {
  const harness = new PlannerHarness([1])
  harness.addJob('a', [SMALL_STEP], { repeat: { count: 2, intervalMs: 5_000, firstRunAt: harness.wallTime } })
  for (const occurrence of [0, 1]) {
    harness.run(300)
    endOccurrence(harness, occurrence)
    harness.run(300)
    t.is(harness.planner.getJob('a')?.phase, occurrence === 0 ? 'running' : 'completed')
    harness.run(5_000)
  }
})

// MIXED: the end of a task counted as one more occurrence when a run that had been given up ended as done too.
test('a task whose two runs both end as done counts as one occurrence', t => {
  const harness = new PlannerHarness([1, 1])
  harness.addJob('a', [makeStep({ accelerators: 5 })], { repeat: { count: 3, intervalMs: 0, firstRunAt: 0 } })
  harness.run(300)
  const silent = harness.findWorker('a.0.0.0')
  if (silent === undefined) return t.fail('the first occurrence runs')
  harness.workers.splice(harness.workers.indexOf(silent), 1)
  harness.run(10_000)
  endOccurrence(harness, 1)
  harness.run(500)
  t.is(harness.findWorker('a.0.0.0'), harness.workers[0], 'the task has been started again')
  // Both runs end between two reports, and the end of the lost run is heard of first.
  harness.workers.unshift(silent)
  harness.endRun('a.0.0.0', 'done')
  harness.endRun('a.0.0.0', 'done')
  harness.run(300)
  t.is(harness.planner.getJob('a')?.phase, 'running', 'the third occurrence is not done')
  endOccurrence(harness, 2)
  harness.run(300)
  t.is(harness.planner.getJob('a')?.phase, 'completed')
})

// A planner that had counted too many ends held more occurrences open than the limit allows, and a new planner counted anew.
test('the number of occurrences at work does not depend on how many members of a gang report their end', t => {
  const harness = new PlannerHarness([1])
  const size = 250
  harness.addJob('a', [{ ...SMALL_STEP, accelerators: 0, count: size, isGang: true }], { repeat: { count: 1_000, intervalMs: 0, firstRunAt: 0 } })
  const countOpen = (): number => [...harness.planner.getJob('a')?.occurrences.values() ?? []].filter(steps => steps.some(step => step.remaining > 0)).length
  harness.run(300)
  const before = countOpen()
  endOccurrence(harness, 0)
  harness.run(300)
  t.is(countOpen(), before)
})
