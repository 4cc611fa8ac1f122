/**
 * Tests which tasks the planner blames for crashes of workers, where it starts suspected tasks, and when it gives a task up.
 */
import type { StepSpec } from '@dragonflylever/core/graphs/index'
import test from 'ava'

import { PlannerHarness, makeQueue, makeStep } from './plannerHarness.js'
import type { FakeWorker } from './plannerHarness.js'

/** Restarts the worker that executes a task; the agent suspects all runs of the worker. Returns the worker that crashed. */
function crashUnder (harness: PlannerHarness, task: string): FakeWorker | undefined {
  const worker = harness.findWorker(task)
  if (worker === undefined) return undefined
  harness.crashWorker(worker)
  return worker
}

/** Lets a task start and crash its worker this many times. */
function crashRepeatedly (harness: PlannerHarness, task: string, count: number): void {
  for (let crash = 0; crash < count; crash++) {
    harness.run(300)
    crashUnder(harness, task)
  }
}

test('a task is given up after the third crash in a row, although a new planner counts from the stored records', t => {
  const harness = new PlannerHarness([4])
  harness.addJob('a', [makeStep()])
  for (let planner = 0; planner < 2; planner++) {
    crashRepeatedly(harness, 'a.0.0.0', 1)
    harness.run(100)
    harness.replacePlanner()
  }
  t.is(harness.planner.getJob('a')?.phase, 'running')
  harness.run(300)
  crashUnder(harness, 'a.0.0.0')
  harness.run(300)
  t.is(harness.planner.getJob('a')?.phase, 'failed')
  t.deepEqual(harness.listNotes('worker crashed under a task').map(({ crashes }) => crashes), [1, 2, 3])
})

test('a crash that is reported again, also to a new planner, counts once', t => {
  const harness = new PlannerHarness([2])
  harness.addJob('a', [makeStep()])
  harness.run(300)
  crashUnder(harness, 'a.0.0.0')
  harness.run(300)
  harness.replacePlanner()
  harness.run(300)
  t.is(harness.listNotes('worker crashed under a task').length, 1)
})

test('a run that goes on clears its task, so that later crashes count anew', t => {
  const harness = new PlannerHarness([4])
  harness.addJob('a', [makeStep()])
  crashRepeatedly(harness, 'a.0.0.0', 2)
  harness.run(3_000)
  t.is(harness.listNotes('task cleared of worker crashes').length, 1)
  crashRepeatedly(harness, 'a.0.0.0', 2)
  harness.run(300)
  t.is(harness.planner.getJob('a')?.phase, 'running')
})

test('tasks that had started together on a crashed worker start again on different workers', t => {
  const harness = new PlannerHarness([3])
  for (const id of ['a', 'b', 'c']) harness.addJob(id, [makeStep()])
  harness.run(300)
  t.is(new Set(['a', 'b', 'c'].map(id => harness.findWorker(`${id}.0.0.0`)?.id)).size, 1)
  crashUnder(harness, 'a.0.0.0')
  harness.run(300)
  t.is(new Set(['a', 'b', 'c'].map(id => harness.findWorker(`${id}.0.0.0`)?.id)).size, 3)
})

test('a task under which two workers have crashed starts alone, and nothing starts beside it before it is cleared', t => {
  const harness = new PlannerHarness([4])
  harness.addJob('other', [makeStep({ accelerators: 6 })])
  harness.addJob('a', [makeStep()])
  crashRepeatedly(harness, 'a.0.0.0', 2)
  harness.run(300)
  harness.addJob('late', [makeStep({ accelerators: 2 }), makeStep({ accelerators: 2 })])
  harness.run(300)
  const worker = harness.findWorker('a.0.0.0')
  t.deepEqual(worker?.running.map(({ task }) => task), ['a.0.0.0'])
})

test('an urgent step reclaims capacity for its other tasks while one of them has to run alone', t => {
  const harness = new PlannerHarness([2])
  harness.addJob('a', [makeStep({ count: 2 })])
  crashRepeatedly(harness, 'a.0.0.0', 2)
  harness.run(300)
  t.truthy(harness.findWorker('a.0.0.1'))
})

test('a task is not given up for three crashes of which another suspect can have caused two', t => {
  const harness = new PlannerHarness([6])
  harness.addJob('a', [makeStep()])
  for (const other of ['b', 'c']) {
    harness.addJob(other, [makeStep()])
    harness.run(300)
    const worker = harness.findWorker('a.0.0.0')
    if (worker === undefined) return t.fail()
    const successor = harness.restartWorker(worker, `${worker.id}x`)
    successor.crashes.push({ suspects: [...worker.running.map(({ task, run }) => ({ task, run })), { task: `${other}.0.0.0`, run: 1 }] })
  }
  crashRepeatedly(harness, 'a.0.0.0', 1)
  harness.run(300)
  t.is(harness.planner.getJob('a')?.phase, 'running')
  crashRepeatedly(harness, 'a.0.0.0', 1)
  harness.run(300)
  t.is(harness.planner.getJob('a')?.phase, 'failed')
})

test('a task that must run alone starts although single tasks wait for each slot that becomes free', t => {
  const harness = new PlannerHarness([3])
  const startedAt = new Map<string, number>()
  const runBusy = (ms: number): void => {
    for (const end = harness.now + ms; harness.now < end; harness.now += 100) {
      for (const { task } of harness.workers.flatMap(worker => worker.running)) {
        if (task === 'a.0.0.0') continue
        // The first tasks end one after the other, so that single slots become free.
        startedAt.set(task, startedAt.get(task) ?? harness.now - (startedAt.size < 24 ? startedAt.size * 160 : 0))
        if (harness.now - (startedAt.get(task) ?? 0) >= 4_000) harness.endRun(task, 'done')
      }
      harness.runTurn()
    }
  }
  harness.addJob('a', [makeStep({ count: 2 })])
  crashRepeatedly(harness, 'a.0.0.0', 2)
  harness.addJob('fill', [makeStep({ count: 400, estimatedMs: 4_000 })], { queue: makeQueue({ name: 'fill', priority: 2 }) })
  for (let turn = 0; turn < 200 && harness.findWorker('a.0.0.0') === undefined; turn++) runBusy(100)
  const worker = harness.findWorker('a.0.0.0')
  t.deepEqual(worker?.running.map(({ task }) => task), ['a.0.0.0'])
})

/** Creates a rack of two workers of which neither is empty, and a task that must run alone there. A worker elsewhere runs another task of its job, so that the job is not idle. */
function createFleetWithIsolatedTask (holders: ReadonlyArray<Partial<StepSpec>>): PlannerHarness {
  const harness = new PlannerHarness([2, 1])
  harness.addJob('a', [makeStep({ requiredLabel: 'r0' }), makeStep({ accelerators: 8, estimatedMs: 600_000, requiredLabel: 'r1' })])
  crashRepeatedly(harness, 'a.0.0.0', 2)
  for (const [index, worker] of harness.workers.slice(0, 2).entries()) harness.addJob(`holder${index}`, [makeStep({ ...holders[index], requiredLabel: worker.id })])
  // The workers count as steady again after this time.
  harness.run(11_000)
  return harness
}

// The worker that was expected to become empty first was kept for as long as its run went on, which need not end.
test('a worker is not kept empty for long after the time at which it should have been empty', t => {
  const harness = createFleetWithIsolatedTask([{ accelerators: 4, estimatedMs: 12_000 }, { accelerators: 4, estimatedMs: 24_000 }])
  const runSmallTasks = (ms: number): void => {
    for (const end = harness.now + ms; harness.now < end && harness.findWorker('a.0.0.0') === undefined;) {
      harness.addJob(`small${harness.now}`, [makeStep({ count: 2, estimatedMs: 1_000, requiredLabel: 'r0' })], { queue: makeQueue({ name: 'small', priority: 2 }) })
      harness.run(1_000)
      for (const { task } of harness.workers.flatMap(({ running }) => running)) if (task.startsWith('small')) harness.endRun(task, 'done')
    }
  }
  runSmallTasks(13_000)
  t.is(harness.findWorker('a.0.0.0'), undefined)
  harness.endRun('holder1.0.0.0', 'done')
  runSmallTasks(10_000)
  t.deepEqual(harness.findWorker('a.0.0.0')?.running.map(({ task }) => task), ['a.0.0.0'])
})

// A job without a run waited for a task of another job to find an empty worker, with most of the fleet free.
test('a starved job starts at a worker that is kept empty', t => {
  const harness = createFleetWithIsolatedTask([{ estimatedMs: 40_000 }, { estimatedMs: 80_000 }])
  const kept = harness.findWorker('holder0.0.0.0')
  harness.addJob('small', [makeStep({ requiredLabel: kept?.id ?? '' })])
  harness.run(1_000)
  t.is(harness.findWorker('small.0.0.0'), undefined)
  harness.run(2_000)
  t.is(harness.findWorker('small.0.0.0'), kept)
})

// No worker is expected to become empty, so that none is kept, and the task starts beside other work only if most of the service is free.
test('a task that must run alone starts although each worker has work that lasts', t => {
  const harness = createFleetWithIsolatedTask([{ accelerators: 5, isLongRunning: true }, { accelerators: 5, isLongRunning: true }])
  harness.run(60_000)
  t.truthy(harness.findWorker('a.0.0.0'))
})
