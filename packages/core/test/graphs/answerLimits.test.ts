/**
 * Guards against the same cause as review case 14 on the way to an agent: an answer that held each start with the payload of its job exceeded what the
 * agent reads, and the planner repeated it.
 */
import test from 'ava'

import { PlannerHarness, makeStep } from './plannerHarness.js'

/** Size of an answer that an agent reads, in bytes, for all workers of its host. */
const MAX_ANSWER_BYTES = 8 * 1024 * 1024
const TASKS = 3_000

test('starts with large payloads reach a worker in several answers of limited size', t => {
  const harness = new PlannerHarness([1])
  harness.addJob('a', [makeStep({ count: TASKS, cpuMillis: 1, memoryMb: 1, accelerators: 0 })], { payload: 'p'.repeat(4_000) })
  const [worker] = harness.workers
  if (worker === undefined) return t.fail('there is one worker')
  for (let turn = 0; turn < 100 && worker.running.length < TASKS; turn++) {
    harness.planner.acceptReport(harness.report(worker), harness.now)
    harness.planner.plan(harness.now)
    harness.store()
    const orders = harness.planner.answerReport({ id: worker.id, born: worker.born }, harness.now, true)
    t.true(JSON.stringify(orders).length < MAX_ANSWER_BYTES / 16)
    for (const { task, run, checkpoint } of orders?.starts ?? []) worker.running.push({ task, run, checkpoint, percent: 0, usage: 0 })
    harness.now += 100
  }
  t.is(new Set(worker.running.map(({ task }) => task)).size, TASKS)
})
