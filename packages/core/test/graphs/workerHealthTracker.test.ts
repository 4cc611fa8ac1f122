/**
 * Tests which workers get new runs, depending on the outcome of their earlier runs. Each test sets up the load that needs one decision.
 */
import test from 'ava'

import { PlannerHarness, makeQueue, makeStep } from './plannerHarness.js'
import type { FakeWorker } from './plannerHarness.js'

test('a stalled run is moved once it has stalled for as long as the lost work takes to repeat, and its worker gets no new runs', t => {
  const harness = new PlannerHarness([1, 1])
  harness.addJob('a', [makeStep({ accelerators: 4, estimatedMs: 10_000 })])
  harness.run(300)
  const worker = harness.findWorker('a.0.0.0')
  for (let percent = 10; percent <= 40; percent += 10) {
    harness.setPercent('a.0.0.0', percent)
    harness.run(1_000)
  }
  harness.run(1_600)
  t.is(harness.findWorker('a.0.0.0'), worker)
  harness.addJob('b', [makeStep({ accelerators: 4 })])
  harness.run(300)
  t.not(harness.findWorker('b.0.0.0'), worker)
  harness.run(1_500)
  t.truthy(harness.findWorker('a.0.0.0'))
  t.not(harness.findWorker('a.0.0.0'), worker)
})

test('a member of a gang that waits for the others at its end doesn\'t count as stalled', t => {
  const harness = new PlannerHarness([1])
  harness.addJob('a', [makeStep({ count: 2, isGang: true })])
  for (let percent = 1; percent <= 200; percent++) {
    harness.run(100)
    if (percent <= 99) harness.setPercent('a.0.0.0', percent)
    harness.setPercent('a.0.0.1', Math.floor(percent / 2))
  }
  t.is(harness.listNotes('run stopping').length, 0)
})

test('a worker on which different jobs fail in a row gets no runs for a time, and then one run at a time until a run succeeds', t => {
  const harness = new PlannerHarness([1, 1])
  for (const id of ['a', 'b']) {
    harness.addJob(id, [makeStep({ accelerators: 8, requiredLabel: 'r0' })], { queue: makeQueue({ maxAttempts: 1 }) })
    harness.run(300)
    harness.endRun(`${id}.0.0.0`, 'failed')
    harness.run(300)
  }
  harness.addJob('c', [makeStep({ count: 2, accelerators: 8 })])
  harness.run(600)
  t.is(harness.findWorker('c.0.0.0')?.rack, 'r1')
  t.is(harness.findWorker('c.0.0.1'), undefined)
  harness.run(6_000)
  t.is(harness.findWorker('c.0.0.1')?.rack, 'r0')
  harness.endRun('c.0.0.1', 'done')
  harness.addJob('d', [makeStep({ count: 2, accelerators: 4 })])
  harness.run(600)
  t.deepEqual(['d.0.0.0', 'd.0.0.1'].map(task => harness.findWorker(task)?.rack), ['r0', 'r0'])
})

test('when a member of a gang fails, no member of the gang is placed on the worker of the failed member again', t => {
  const harness = new PlannerHarness([3])
  harness.addJob('a', [makeStep({ count: 2, accelerators: 8, isGang: true })])
  harness.run(300)
  const faulty = harness.findWorker('a.0.0.0')
  harness.endRun('a.0.0.0', 'failed')
  harness.run(1_000)
  t.is(harness.listNotes('run assigned').length, 4)
  t.false([harness.findWorker('a.0.0.0'), harness.findWorker('a.0.0.1')].includes(faulty))
})

test('a worker that refuses starts because it is unhealthy gets no runs for a time', t => {
  const harness = new PlannerHarness([1, 1])
  const unhealthy = harness.workers[0] as FakeWorker
  unhealthy.refusesStarts = true
  harness.addJob('a', [makeStep({ count: 2, accelerators: 1 })])
  harness.run(2_000)
  t.deepEqual(['a.0.0.0', 'a.0.0.1'].map(task => harness.findWorker(task)?.rack), ['r1', 'r1'])
  t.is(harness.listNotes('run lost').length, 2)
  unhealthy.refusesStarts = false
  harness.addJob('b', [makeStep({ count: 2, accelerators: 8 })])
  harness.run(6_000)
  t.is(harness.findWorker('b.0.0.0')?.rack, 'r0')
})

test('tasks that last and fail after they have worked are started again, also beside others that go on, and put no worker on probation', t => {
  const harness = new PlannerHarness([1, 1])
  const jobs = ['a', 'b', 'c', 'd', 'e']
  for (const id of jobs) harness.addJob(id, [makeStep({ count: 2, isLongRunning: true })])
  harness.run(5_000)
  for (let round = 0; round < 4; round++) {
    for (const id of jobs) {
      harness.endRun(`${id}.0.0.${round % 2}`, 'failed')
      harness.run(1_200)
    }
  }
  harness.run(2_000)
  for (const id of jobs) for (const index of [0, 1]) t.truthy(harness.findWorker(`${id}.0.0.${index}`), `${id}.0.0.${index}`)
})

test('the probation of a worker ends once a task that lasts has worked there since, although none ends as done', t => {
  const harness = new PlannerHarness([1])
  for (const id of ['a', 'b', 'c']) harness.addJob(id, [makeStep({ count: 2, isLongRunning: true })])
  harness.run(300)
  for (const id of ['a', 'b']) {
    harness.endRun(`${id}.0.0.0`, 'failed')
    harness.run(300)
  }
  harness.run(3_000)
  t.is(harness.findWorker('b.0.0.0'), undefined)
  harness.run(20_000)
  for (const id of ['a', 'b', 'c']) t.truthy(harness.findWorker(`${id}.0.0.0`), id)
})

test('a worker on which tasks that last fail right after their start is avoided', t => {
  const harness = new PlannerHarness([1, 1])
  for (const id of ['a', 'b']) {
    harness.addJob(id, [makeStep({ accelerators: 8, isLongRunning: true, requiredLabel: 'r0' })])
    harness.run(300)
    harness.endRun(`${id}.0.0.0`, 'failed')
    harness.planner.cancelJob(id, harness.now)
    harness.run(300)
  }
  harness.addJob('c', [makeStep({ count: 2, accelerators: 8 })])
  harness.run(600)
  t.is(harness.findWorker('c.0.0.0')?.rack, 'r1')
  t.is(harness.findWorker('c.0.0.1'), undefined)
})
