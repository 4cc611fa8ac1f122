/**
 * Tests the decisions of the planner of job graphs on incarnations of workers, ends of runs, order and placement. Each test sets up the load that
 * needs one decision.
 */
import { ArrivalOrder } from '@dragonflylever/core/graphs/index'
import test from 'ava'

import { PlannerHarness, makeQueue, makeStep } from './plannerHarness.js'
import type { FakeWorker } from './plannerHarness.js'

const URGENT = makeQueue({ name: 'urgent', priority: 0, stretch: 1.5, targetLatencyMs: 600 })

test('when a worker starts at the address of an earlier worker, the runs of the earlier worker are declared lost at once, also by a new planner', t => {
  const harness = new PlannerHarness([1, 1])
  harness.addJob('a', [makeStep({ accelerators: 8 })])
  harness.run(300)
  const first = harness.findWorker('a.0.0.0')
  t.truthy(first)
  if (first === undefined) return
  harness.restartWorker(first, 'other')
  harness.replacePlanner()
  harness.run(300)
  t.is(harness.findWorker('a.0.0.0')?.running[0]?.run, 2)
})

test('a later incarnation that its agent has heard of, but that has not answered it, ends no runs of the worker that is there', t => {
  for (const change of [{ id: 'w0' }, { id: 'other' }]) {
    const harness = new PlannerHarness([1, 1])
    harness.addJob('a', [makeStep()])
    harness.run(300)
    const worker = harness.findWorker('a.0.0.0')
    if (worker === undefined) return t.fail()
    const id = change.id === 'w0' ? worker.id : change.id
    const announced = { ...harness.report(worker), key: { id, born: worker.born + 1_000 }, listNumber: 0, running: [], orders: [] }
    t.false(harness.planner.acceptReport(announced, harness.now))
    harness.run(1_000)
    t.deepEqual(harness.listNotes('run lost'), [])
    t.is(harness.workers.flatMap(candidate => candidate.running).length, 1)
  }
})

test('a run restored from a stored record is not started again before its worker has listed its ended runs', t => {
  const harness = new PlannerHarness([1])
  harness.addJob('a', [makeStep()])
  harness.run(300)
  harness.endRun('a.0.0.0', 'done')
  harness.replacePlanner()
  const worker = harness.workers[0]
  if (worker === undefined) return t.fail()
  harness.planner.acceptReport({ ...harness.report(worker), listNumber: 0, ended: [] }, harness.now)
  harness.planner.plan(harness.now)
  t.deepEqual(harness.planner.answerReport({ id: worker.id, born: worker.born }, harness.now, true)?.starts, [])
  harness.run(300)
  t.is(harness.planner.getJob('a')?.phase, 'completed')
})

test('the end of a run that was declared lost is acknowledged only once leadership was confirmed after the end was recorded', t => {
  const harness = new PlannerHarness([1])
  harness.addJob('a', [makeStep()])
  harness.run(300)
  const worker = harness.workers[0]
  if (worker === undefined) return t.fail()
  const key = { id: worker.id, born: worker.born }
  harness.workers.splice(0, 1)
  harness.run(20_000)
  harness.workers.push(worker)
  t.is(harness.listNotes('run lost').length, 1)
  harness.endRun('a.0.0.0', 'lapsed')
  harness.planner.acceptReport(harness.report(worker), harness.now)
  t.is(harness.planner.answerReport(key, harness.now, true)?.seen, 0)
  harness.planner.recordLeadershipConfirmed(harness.now + 1)
  t.is(harness.planner.answerReport(key, harness.now, true)?.seen, 1)
})

test('after a stall of its own process the planner declares no run lost before the workers could report again', t => {
  const harness = new PlannerHarness([1, 1])
  harness.addJob('a', [makeStep()])
  harness.run(300)
  harness.now += 20_000
  harness.planner.plan(harness.now)
  t.is(harness.listNotes('run lost').length, 0)
  harness.run(5_000)
  t.is(harness.listNotes('run lost').length, 0)
  harness.workers.length = 0
  harness.run(7_500)
  t.is(harness.listNotes('run lost').length, 1)
})

test('a task done by a run that was declared lost counts as done, is stored before the end of the run is acknowledged, and a newer run of the task is stopped', t => {
  const harness = new PlannerHarness([1, 1])
  harness.addJob('a', [makeStep({ count: 2 }), makeStep({ after: [0] })])
  harness.run(300)
  const [silent, other] = harness.workers as [FakeWorker, FakeWorker]
  t.is(silent.running.length, 2)
  harness.workers.splice(0, 1)
  harness.run(7_500)
  t.is(other.running.length, 2)
  harness.workers.push(silent)
  for (const run of silent.running) silent.ended.push({ number: ++silent.lastEndNumber, task: run.task, run: run.run, how: 'done', checkpoint: '' })
  silent.running = []
  const key = { id: silent.id, born: silent.born }
  harness.planner.acceptReport(harness.report(silent), harness.now)
  harness.planner.recordLeadershipConfirmed(harness.now + 1)
  t.is(harness.planner.answerReport(key, harness.now, true)?.seen, 0)
  harness.run(500)
  t.is(harness.planner.answerReport(key, harness.now, true)?.seen, 2)
  t.is(other.running.filter(run => run.task.startsWith('a.0.0.')).length, 0)
  t.truthy(harness.findWorker('a.0.1.0'))
  harness.endRun('a.0.1.0', 'done')
  harness.run(300)
  t.is(harness.planner.getJob('a')?.phase, 'completed')
})

test('dependent steps start only after all tasks of their predecessors are done', t => {
  const harness = new PlannerHarness([2])
  harness.addJob('a', [makeStep({ count: 2 }), makeStep({ after: [0] })])
  harness.run(300)
  t.is(harness.findWorker('a.0.1.0'), undefined)
  harness.endRun('a.0.0.0', 'done')
  harness.run(300)
  t.is(harness.findWorker('a.0.1.0'), undefined)
  harness.endRun('a.0.0.1', 'done')
  harness.run(300)
  t.truthy(harness.findWorker('a.0.1.0'))
})

test('a gang that needs a single rack waits while another gang occupies it', t => {
  const harness = new PlannerHarness([2, 1])
  harness.addJob('a', [makeStep({ count: 2, accelerators: 8, isGang: true, isSameRack: true })])
  harness.run(300)
  harness.addJob('b', [makeStep({ count: 2, accelerators: 8, isGang: true, isSameRack: true })])
  harness.run(300)
  t.is(harness.findWorker('a.0.0.0')?.rack, 'r0')
  t.is(harness.findWorker('b.0.0.0'), undefined)
})

test('a task that reaches the maximum of attempts of its queue fails its job, and the other runs of the job are stopped', t => {
  const harness = new PlannerHarness([3])
  harness.addJob('a', [makeStep({ count: 2 })], { queue: makeQueue({ maxAttempts: 2 }) })
  harness.run(300)
  harness.endRun('a.0.0.0', 'failed')
  harness.run(300)
  harness.endRun('a.0.0.0', 'failed')
  harness.run(300)
  t.is(harness.planner.getJob('a')?.phase, 'failed')
  t.is(harness.findWorker('a.0.0.1'), undefined)
})

test('a step waits for the busy rack that holds its data, but not for long when its job has no run and half of the fleet is free', t => {
  const harness = new PlannerHarness([1, 3])
  harness.addJob('a', [makeStep({ accelerators: 8, dataRack: 'r0', estimatedMs: 30_000 })])
  harness.run(300)
  harness.addJob('b', [makeStep({ accelerators: 8, dataRack: 'r0', estimatedMs: 30_000 })])
  harness.run(1_000)
  t.is(harness.findWorker('b.0.0.0'), undefined)
  harness.run(1_500)
  t.is(harness.findWorker('b.0.0.0')?.rack, 'r1')
})

test('a run continues from its last stored checkpoint when planner and worker are lost at the same time', t => {
  const harness = new PlannerHarness([1])
  harness.addJob('a', [makeStep({ isCheckpointing: true })])
  harness.run(500)
  const worker = harness.workers[0] as FakeWorker
  worker.running = worker.running.map(run => ({ ...run, checkpoint: 'c1' }))
  harness.run(2_500)
  harness.replacePlanner()
  harness.restartWorker(worker, 'other')
  harness.run(500)
  t.deepEqual(harness.listNotes('run assigned').map(note => note['checkpoint']), ['', 'c1'])
})

test('a run that can\'t end before its draining worker leaves is moved at once, and a run that can end in time stays', t => {
  const harness = new PlannerHarness([1, 1])
  harness.addJob('long', [makeStep({ accelerators: 4, estimatedMs: 20_000, isCheckpointing: true })])
  harness.addJob('short', [makeStep({ accelerators: 4, estimatedMs: 2_000 })])
  harness.run(300)
  const worker = harness.findWorker('long.0.0.0')
  t.is(harness.findWorker('short.0.0.0'), worker)
  if (worker === undefined) return
  worker.isDraining = true
  worker.drainLeftMs = 3_000
  harness.run(400)
  t.not(harness.findWorker('long.0.0.0'), undefined)
  t.not(harness.findWorker('long.0.0.0'), worker)
  t.is(harness.findWorker('short.0.0.0'), worker)
})

test('a gang on a draining worker is stopped when its slowest member can\'t end in time', t => {
  const harness = new PlannerHarness([2])
  harness.addJob('a', [makeStep({ count: 2, accelerators: 8, isGang: true, estimatedMs: 10_000 })])
  for (let percent = 1; percent <= 40; percent++) {
    harness.run(100)
    harness.setPercent('a.0.0.0', percent * 2)
    harness.setPercent('a.0.0.1', percent)
  }
  const leaving = harness.findWorker('a.0.0.0') as FakeWorker
  leaving.isDraining = true
  leaving.drainLeftMs = 3_000
  harness.run(300)
  t.is(harness.listNotes('run stopping').length, 2)
})

test('when a worker incarnation has ended, the runs that it listed as ended are recorded so and its other runs are declared lost at once', t => {
  const harness = new PlannerHarness([1, 1])
  harness.addJob('a', [makeStep({ count: 2, accelerators: 4 })])
  harness.run(300)
  const worker = harness.findWorker('a.0.0.0')
  if (worker === undefined) return t.fail()
  harness.endRun('a.0.0.0', 'done')
  harness.planner.acceptReport({ ...harness.report(worker), isOver: true }, harness.now)
  harness.workers.splice(harness.workers.indexOf(worker), 1)
  harness.run(300)
  t.is(harness.findWorker('a.0.0.1')?.running[0]?.run, 2)
  t.is(harness.findWorker('a.0.0.0'), undefined)
})

test('urgent work is placed first, then work by value per core-second; the baseline places work by arrival', t => {
  for (const [createOrder, expected] of [[undefined, 'urgent'], [() => new ArrivalOrder(), 'large']] as const) {
    const harness = new PlannerHarness([1], createOrder === undefined ? {} : { createOrder })
    harness.addJob('running', [makeStep({ accelerators: 8 })])
    harness.run(300)
    harness.addJob('large', [makeStep({ accelerators: 8, estimatedMs: 50_000 })])
    harness.now += 10
    harness.addJob('small', [makeStep({ accelerators: 8, estimatedMs: 1_000 })])
    harness.now += 10
    harness.addJob('urgent', [makeStep({ accelerators: 8, estimatedMs: 2_000 })], { queue: URGENT })
    harness.endRun('running.0.0.0', 'done')
    harness.run(100)
    t.is(harness.listNotes('run assigned')[1]?.['task'], `${expected}.0.0.0`)
    if (expected !== 'urgent') continue
    harness.endRun('urgent.0.0.0', 'done')
    harness.run(300)
    t.truthy(harness.findWorker('small.0.0.0'))
  }
})

test('a worker that is silent for a while keeps a run whose start it has not confirmed; the run is neither given up nor started elsewhere', t => {
  const harness = new PlannerHarness([2])
  harness.addJob('a', [makeStep({ accelerators: 8 })])
  harness.runTurn()
  const worker = harness.findWorker('a.0.0.0')
  t.truthy(worker)
  const others = harness.workers.filter(other => other !== worker)
  harness.workers.splice(0, 2, ...others)
  harness.run(5_000)
  t.deepEqual(harness.listNotes('run stopping'), [])
  if (worker !== undefined) harness.workers.push(worker)
  harness.run(500)
  t.is(harness.findWorker('a.0.0.0'), worker)
  t.deepEqual(harness.listNotes('run lost'), [])
  t.is(harness.listNotes('run assigned').length, 1)
})

test('a gang that makes progress is not stopped because one of its workers is silent and has not confirmed its start', t => {
  const harness = new PlannerHarness([2])
  harness.addJob('a', [makeStep({ count: 2, accelerators: 8, isGang: true })])
  harness.runTurn()
  const silent = harness.findWorker('a.0.0.1')
  harness.workers.splice(0, 2, ...harness.workers.filter(worker => worker !== silent))
  for (let percent = 0; percent <= 60; percent += 20) {
    harness.setPercent('a.0.0.0', percent)
    harness.run(1_000)
  }
  t.deepEqual(harness.listNotes('run stopping'), [])
})

test('a worker whose capacity shrinks keeps its runs, gets no start beyond the smaller capacity, and gets starts again once it has grown', t => {
  const harness = new PlannerHarness([1])
  const worker = harness.workers[0]
  if (worker === undefined) return t.fail()
  const { capacity } = worker
  harness.addJob('first', [makeStep({ count: 4 })])
  harness.run(300)
  worker.capacity = { ...capacity, accelerators: 5 }
  harness.addJob('second', [makeStep({ count: 4 })])
  harness.run(300)
  t.is(worker.running.length, 5)
  worker.capacity = { ...capacity, accelerators: 2 }
  harness.endRun('first.0.0.0', 'done')
  harness.run(300)
  t.is(worker.running.length, 4)
  worker.capacity = capacity
  harness.run(300)
  t.is(worker.running.length, 7)
})

test('urgent work reclaims enough capacity at a worker that runs more than its shrunk capacity', t => {
  const harness = new PlannerHarness([1])
  const worker = harness.workers[0]
  if (worker === undefined) return t.fail()
  harness.planner.setPolicy({ queues: [URGENT, makeQueue()], guarantees: [{ organisation: 'o', accelerators: 8 }] })
  harness.addJob('old', [makeStep({ count: 8, estimatedMs: 20_000 })])
  harness.run(5_000)
  worker.capacity = { ...worker.capacity, accelerators: 4 }
  harness.addJob('urgent', [makeStep({ count: 2, estimatedMs: 2_000 })], { queue: URGENT })
  harness.run(2_900)
  t.is(worker.running.filter(({ task }) => task.startsWith('urgent.')).length, 2)
  t.is(worker.running.length, 4)
})

test('the last attempt of a task waits for a worker without failures while other work keeps the fleet busy', t => {
  const harness = new PlannerHarness([2])
  harness.addJob('busy', [makeStep({ count: 14 })])
  harness.run(300)
  harness.addJob('a', [makeStep({ count: 2 })], { queue: makeQueue({ maxAttempts: 2 }) })
  harness.run(300)
  const faulty = harness.findWorker('a.0.0.0')
  for (const task of ['a.0.0.0', 'a.0.0.1']) harness.endRun(task, 'failed')
  harness.run(2_000)
  t.is(harness.findWorker('a.0.0.0'), undefined)
  const other = harness.workers.find(worker => worker !== faulty)
  for (const { task } of other?.running.slice(0, 2) ?? []) harness.endRun(task, 'done')
  harness.run(300)
  t.deepEqual(['a.0.0.0', 'a.0.0.1'].map(task => harness.findWorker(task)?.id), [other?.id, other?.id])
})

test('the last attempt of a task starts at a worker with failures when half of the fleet is free', t => {
  const harness = new PlannerHarness([1])
  harness.addJob('a', [makeStep()], { queue: makeQueue({ maxAttempts: 2 }) })
  harness.run(300)
  harness.endRun('a.0.0.0', 'failed')
  harness.run(2_500)
  t.truthy(harness.findWorker('a.0.0.0'))
})

test('a task that lasts is started again when its run ends as done, until its job is cancelled', t => {
  const harness = new PlannerHarness([1, 1])
  harness.addJob('a', [makeStep({ count: 2, isLongRunning: true })])
  harness.run(300)
  harness.endRun('a.0.0.0', 'done')
  harness.endRun('a.0.0.1', 'done')
  harness.run(600)
  t.is(harness.planner.getJob('a')?.phase, 'running')
  t.deepEqual([0, 1].map(index => harness.findWorker(`a.0.0.${index}`)?.running.find(run => run.task === `a.0.0.${index}`)?.run), [2, 2])
  harness.planner.cancelJob('a', harness.now)
  harness.run(600)
  t.is(harness.findWorker('a.0.0.0'), undefined)
})
