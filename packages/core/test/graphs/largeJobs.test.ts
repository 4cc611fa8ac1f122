/**
 * Guards against LOST of review case 14 in the planner: the progress of a large job was one record, which exceeded a value of the store, and its tasks filled the
 * memory of the planner.
 */
import { RunEnd, addFailedWorker } from '@dragonflylever/core/graphs/index'
import type { ChangedJob } from '@dragonflylever/core/graphs/index'
import test from 'ava'

import { PlannerHarness, makeStep } from './plannerHarness.js'

/** Size of a value that the store accepts, in bytes. */
const MAX_VALUE_BYTES = 1_048_576
const TASKS = 9_000
const TINY = { cpuMillis: 1, memoryMb: 1, accelerators: 0 }
const LONG_CHECKPOINT = 'c'.repeat(512)

function listLengths (harness: PlannerHarness): number[] {
  return [...harness.records.values()].map(text => Buffer.byteLength(text))
}

function endAll (harness: PlannerHarness, how: RunEnd = RunEnd.done, checkpoint = ''): void {
  for (const worker of harness.workers) {
    for (const { task, run } of worker.running) worker.ended.push({ number: ++worker.lastEndNumber, task, run, how, checkpoint })
    worker.running = []
  }
}

test('the progress of a job that is due twice with 9,000 tasks is stored in records that the store takes, and a change rewrites few of them', t => {
  const harness = new PlannerHarness([2])
  harness.addJob('a', [makeStep({ ...TINY, count: TASKS })], { repeat: { count: 2, intervalMs: 0, firstRunAt: 0 } })
  harness.run(6_000)
  t.is(harness.workers.reduce((sum, { running }) => sum + running.length, 0), 2 * TASKS)
  t.true(Math.max(...listLengths(harness)) < MAX_VALUE_BYTES / 10)
  harness.endRun('a.1.0.4000', RunEnd.done)
  for (const worker of harness.workers) harness.planner.acceptReport(harness.report(worker), harness.now)
  const changed = harness.planner.listChangedJobs()
  t.deepEqual(changed.map(({ parts }) => parts.length), [1])
})

test('records stay within a value of the store when each task has failed on many workers and has the longest checkpoint', t => {
  const harness = new PlannerHarness([1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1])
  for (const worker of harness.workers) worker.capacity = { cpuMillis: 300, memoryMb: 524_288, accelerators: 8 }
  harness.addJob('a', [makeStep({ ...TINY, count: 2_400, isCheckpointing: true, isLongRunning: true })])
  for (let turn = 0; turn < 30; turn++) {
    harness.run(400)
    endAll(harness, RunEnd.failed, LONG_CHECKPOINT)
  }
  harness.run(3_000)
  t.true(harness.records.size > 5)
  t.true(Math.max(...listLengths(harness)) < MAX_VALUE_BYTES)
})

test('a planner that takes a large job over from its records repeats no task that is done and loses no run', t => {
  const harness = new PlannerHarness([2])
  const steps = [makeStep({ ...TINY, count: 700 }), ...Array.from({ length: 300 }, () => makeStep(TINY)), makeStep({ ...TINY, count: 500, after: [0] })]
  harness.addJob('a', steps)
  harness.run(2_000)
  const before = new Set(harness.workers.flatMap(({ running }) => running.map(({ task }) => task)))
  t.is(before.size, 1_000)
  endAll(harness)
  harness.run(500)
  harness.replacePlanner()
  harness.run(3_000)
  const after = harness.workers.flatMap(({ running }) => running.map(({ task, run }) => `${task}/${run}`))
  t.deepEqual(new Set(after), new Set(Array.from({ length: 500 }, (_, index) => `a.0.301.${index}/1`)))
  endAll(harness)
  harness.run(500)
  t.is(harness.planner.getJob('a')?.phase, 'completed')
})

test('a version counts as stored once all its changes are, whichever parts are stored first', t => {
  const harness = new PlannerHarness([1])
  harness.addJob('a', [makeStep({ ...TINY, count: 600 })])
  for (const worker of harness.workers) harness.planner.acceptReport(harness.report(worker), harness.now)
  harness.planner.plan(harness.now)
  const [job] = harness.planner.listChangedJobs() as [ChangedJob]
  t.deepEqual(job.parts.slice(0, 2), ['', '0.0'])
  const countStarts = (): number => harness.planner.answerReport({ id: 'w00', born: 1 }, harness.now, true)?.starts.length ?? 0
  harness.planner.recordJobStored('a', job.version, job.parts.slice(0, 1))
  t.is(countStarts(), 0)
  harness.planner.recordJobStored('a', job.version, job.parts.slice(1))
  t.true(countStarts() > 0)
  t.deepEqual(harness.planner.listChangedJobs(), [])
})

test('jobs beyond the memory of the planner wait until others have ended, small jobs do not wait for them, and all are done in the end', t => {
  const harness = new PlannerHarness([4])
  const ids = Array.from({ length: 12 }, (_, index) => `large-${index}`)
  for (const id of ids) harness.addJob(id, [makeStep({ ...TINY, count: 10_000 })])
  harness.addJob('small', [makeStep()])
  harness.run(300)
  t.not(harness.findWorker('small.0.0.0'), undefined)
  t.true(ids.filter(id => (harness.planner.getJob(id)?.occurrences.size ?? 0) > 0).length < 8)
  for (let turn = 0; turn < 400 && ids.some(id => harness.planner.getJob(id)?.phase !== 'completed'); turn++) {
    harness.run(100)
    endAll(harness)
  }
  t.deepEqual(ids.filter(id => harness.planner.getJob(id)?.phase !== 'completed'), [])
})

test('the end of a run of a wide step is applied without a look at the other tasks of the step', t => {
  const harness = new PlannerHarness([1])
  harness.addJob('a', [makeStep({ ...TINY, count: 1_000 })])
  harness.run(1_000)
  const [step] = harness.planner.getJob('a')?.occurrences.get(0) ?? []
  if (step === undefined) return t.fail('the job has a step')
  let searches = 0
  step.tasks.flatMap = () => {
    searches++
    return []
  }
  endAll(harness)
  for (const worker of harness.workers) harness.planner.acceptReport(harness.report(worker), harness.now)
  t.is(step.remaining, 0)
  t.true(searches <= 1, `${searches} searches`)
})

test('of the workers on which a task has failed a limited number is remembered, the last ones', t => {
  const harness = new PlannerHarness([1])
  harness.addJob('a', [makeStep({ isLongRunning: true })])
  const task = harness.planner.getJob('a')?.occurrences.get(0)?.[0]?.tasks[0]
  if (task === undefined) return t.fail('the job has a task')
  for (let index = 0; index < 1_000; index++) addFailedWorker(task, `w${index}`)
  t.true(task.failedOn.size <= 16 && task.failedOn.has('w999'))
})

test('large jobs that can never start don\'t keep the memory from one that can, and all of them are tried in turn', t => {
  const harness = new PlannerHarness([2])
  const hopeless = Array.from({ length: 6 }, (_, index) => `hopeless-${index}`)
  for (const id of hopeless) harness.addJob(id, Array.from({ length: 9_000 }, () => makeStep({ ...TINY, requiredLabel: 'none' })))
  harness.addJob('large', [makeStep({ ...TINY, count: 2_000 })])
  harness.run(20_000)
  t.is(harness.workers.reduce((sum, { running }) => sum + running.length, 0), 2_000)
  t.deepEqual(new Set(harness.listNotes('job gives memory up').map(({ job }) => job)), new Set(hopeless))
})
