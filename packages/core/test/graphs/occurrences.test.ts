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
