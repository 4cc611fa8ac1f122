/**
 * Guards against TWICE of review case 11: a run that a worker lists neither as running nor as ended was stopped and started again, although the worker's
 * list of ends was cut off and the run had ended.
 */
import type { EndListing, WorkerReport } from '@dragonflylever/core/graphs/index'
import test from 'ava'

import { PlannerHarness, makeStep } from './plannerHarness.js'

const TASKS = 6
const PAGE = 2

/** Starts a job whose tasks all end at once, and lets the worker list its ends a page at a time; returns the tasks that got a stop or a second run. */
function listRepeated (markCut: (isCut: boolean) => Partial<WorkerReport>): { readonly repeated: string[], readonly phase: string | undefined } {
  const harness = new PlannerHarness([1])
  harness.addJob('a', [makeStep({ count: TASKS })])
  harness.run(500)
  const [worker] = harness.workers
  if (worker === undefined) throw new Error('there is one worker')
  const tasks = worker.running.map(({ task }) => task)
  for (const task of tasks) harness.endRun(task, 'done')
  const ends: readonly EndListing[] = worker.ended
  const key = { id: worker.id, born: worker.born }
  const repeated: string[] = []
  let seen = 0
  for (let turn = 0; turn < 2 * TASKS; turn++) {
    const unseen = ends.filter(({ number }) => number > seen)
    harness.planner.acceptReport({ ...harness.report(worker), ended: unseen.slice(0, PAGE), ...markCut(unseen.length >= PAGE) }, harness.now)
    harness.planner.plan(harness.now)
    harness.store()
    const orders = harness.planner.answerReport(key, harness.now, true)
    for (const { task } of [...orders?.starts ?? [], ...orders?.stops ?? []]) repeated.push(task)
    seen = orders?.seen ?? seen
    harness.now += 100
  }
  return { repeated, phase: harness.planner.getJob('a')?.phase }
}

test('a run that is missing in a list of ends that was cut off is neither stopped nor repeated, and its end counts once it is listed', t => {
  t.deepEqual(listRepeated(isCut => ({ hasMoreEnds: isCut })), { repeated: [], phase: 'completed' })
})

test('nothing is concluded from a report whose lists were shortened to fit into a call', t => {
  t.deepEqual(listRepeated(isCut => ({ isPartial: isCut })), { repeated: [], phase: 'completed' })
})
