/**
 * TWICE on a day of flapping workers: runs that the planner had given up, since their worker was unreachable and its lease had run out, were started there afterwards by an agent that still held
 * the order to start them.
 */
import test from 'ava'

import { PlannerHarness, makeStep } from './plannerHarness.js'

test('the start of a run that was given up is stopped before its agent may extend the lease of the worker again', t => {
  const harness = new PlannerHarness([1, 1])
  harness.addJob('a', [makeStep()])
  const [first] = harness.workers
  if (first === undefined) return t.fail('there are two workers')
  const key = { id: first.id, born: first.born }
  const plan = (): void => {
    harness.planner.plan(harness.now)
    harness.store()
    harness.now += 100
  }
  harness.planner.acceptReport(harness.report(first), harness.now)
  plan()
  const starts = harness.planner.answerReport(key, harness.now, true)?.starts ?? []
  t.deepEqual(starts.map(({ task, run }) => ({ task, run })), [{ task: 'a.0.0.0', run: 1 }])
  // The worker stops answering before the agent can send the start; nothing runs there, and no lease is left.
  const order = { task: 'a.0.0.0', run: 1, status: 'sending', reason: '' } as const
  for (let turn = 0; turn < 10; turn++) {
    harness.planner.acceptReport({ ...harness.report(first), isReachable: false, leaseLeftMs: 0, orders: [order] }, harness.now)
    plan()
  }
  t.like(harness.listNotes('run lost')[0], { task: 'a.0.0.0', run: 1, reason: 'its worker is unreachable, and its lease has run out' })
  harness.planner.acceptReport({ ...harness.report(first), orders: [order] }, harness.now)
  t.like(harness.planner.answerReport(key, harness.now, true), { mayExtend: true, stops: [{ task: 'a.0.0.0', run: 1 }] })
})
