/**
 * Tests which slots are kept for gangs that wait beside a continuous supply of smaller work. Each test sets up the load that needs one decision.
 */
import test from 'ava'

import { PlannerHarness, makeQueue, makeStep } from './plannerHarness.js'

const FILL_QUEUE = makeQueue({ name: 'fill', priority: 2 })
const GANG_QUEUE = makeQueue({ name: 'gang', priority: 1 })
const URGENT = makeQueue({ name: 'urgent', priority: 0, stretch: 1.5, targetLatencyMs: 600 })
const FILL_MS = 4_000
const FILL_TASKS = 400

/**
 * Runs turns of 100 ms while tasks of the job `fill` end after {@link FILL_MS} each. Their starts are spread over time, so that single slots become free
 * one after the other.
 */
function runWithFill (harness: PlannerHarness, ms: number): void {
  const startedAt = new Map<string, number>()
  for (const end = harness.now + ms; harness.now < end; harness.now += 100) {
    for (const worker of harness.workers) {
      for (const { task } of [...worker.running]) {
        if (!task.startsWith('fill.')) continue
        // The first tasks end early by a share that differs from task to task.
        const since = startedAt.get(task) ?? harness.now - (startedAt.size < 16 ? startedAt.size * FILL_MS / 16 : 0)
        startedAt.set(task, since)
        const percent = Math.floor((harness.now - since) / FILL_MS * 100)
        if (percent >= 100) harness.endRun(task, 'done')
        else harness.setPercent(task, percent)
      }
    }
    harness.runTurn()
  }
}

function makeFilledHarness (): PlannerHarness {
  const harness = new PlannerHarness([2])
  harness.addJob('fill', [makeStep({ count: FILL_TASKS, accelerators: 1, estimatedMs: FILL_MS })], { queue: FILL_QUEUE })
  runWithFill(harness, 6_000)
  return harness
}

test('a gang starts although single tasks of lower priority wait for each slot that becomes free', t => {
  const harness = makeFilledHarness()
  harness.addJob('gang', [makeStep({ count: 2, accelerators: 8, isGang: true, estimatedMs: FILL_MS })], { queue: GANG_QUEUE })
  runWithFill(harness, 2 * FILL_MS)
  t.truthy(harness.findWorker('gang.0.0.0'))
  t.truthy(harness.findWorker('gang.0.0.1'))
})

test('slots kept for a gang are still given to urgent work', t => {
  const harness = makeFilledHarness()
  harness.addJob('gang', [makeStep({ count: 2, accelerators: 8, isGang: true, estimatedMs: FILL_MS })], { queue: GANG_QUEUE })
  runWithFill(harness, 1_500)
  t.is(harness.findWorker('gang.0.0.0'), undefined)
  harness.addJob('urgent', [makeStep({ accelerators: 2, estimatedMs: 2_000 })], { queue: URGENT })
  runWithFill(harness, 300)
  t.truthy(harness.findWorker('urgent.0.0.0'))
  t.is(harness.listNotes('capacity taken back').length, 0)
})

test('a gang that will not fit before long keeps no slots from other work', t => {
  const harness = makeFilledHarness()
  harness.addJob('wide', [makeStep({ count: 3, accelerators: 8, isGang: true, estimatedMs: FILL_MS })], { queue: GANG_QUEUE })
  runWithFill(harness, 3 * FILL_MS)
  t.is(harness.workers.reduce((sum, worker) => sum + worker.running.length, 0), 16)
})
