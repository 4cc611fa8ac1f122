/**
 * Replays a stream of urgent work beside gangs of which most wait. Tests which gangs are stopped for it, and how the share of a class is counted.
 */
import { ClassShares } from '@dragonflylever/core/graphs/classShares'
import { JobPhase } from '@dragonflylever/core/graphs/index'
import type { QueuePolicy } from '@dragonflylever/core/graphs/index'
import { addOccurrence, createJobState } from '@dragonflylever/core/graphs/jobState'
import type { JobState } from '@dragonflylever/core/graphs/jobState'
import { RunTimeEstimator } from '@dragonflylever/core/graphs/runTimeEstimator'
import test from 'ava'

import { PlannerHarness, makeQueue, makeStep } from './plannerHarness.js'

const URGENT = makeQueue({ name: 'urgent', priority: 0, stretch: 1.5, targetLatencyMs: 600 })
const GANG_QUEUE = makeQueue({ name: 'gang' })
const URGENT_MS = 1_500
const GANG_MS = 5_000
const GANGS = 5

/** A planner whose workers end each run after the run time of its class. */
interface Replay {
  readonly harness: PlannerHarness
  /** Runs turns of 100 ms. */
  readonly run: (ms: number) => void
}

function makeReplay (): Replay {
  const harness = new PlannerHarness([4])
  const startedAt = new Map<string, number>()
  const endRuns = (): void => {
    for (const { task, run } of harness.workers.flatMap(worker => worker.running)) {
      const key = `${task}/${run}`
      const since = startedAt.get(key) ?? harness.now
      startedAt.set(key, since)
      if (harness.now - since >= (task.startsWith('gang') ? GANG_MS : URGENT_MS)) harness.endRun(task, 'done')
    }
  }
  const run = (ms: number): void => {
    for (const end = harness.now + ms; harness.now < end; harness.now += 100) {
      endRuns()
      harness.runTurn()
    }
  }
  return { harness, run }
}

/** Four workers whose urgent work has all been served, and gangs of which only one fits at a time. */
function makeBusyReplay (guaranteedAccelerators: number): Replay {
  const replay = makeReplay()
  const { harness, run } = replay
  harness.planner.setPolicy({ queues: [URGENT, GANG_QUEUE], guarantees: [{ organisation: 'o', accelerators: guaranteedAccelerators }] })
  for (let number = 0; number < 8; number++) {
    addUrgentJob(harness, `served${number}`, 1)
    if (number % 4 === 3) run(2_000)
  }
  for (let number = 0; number < GANGS; number++) harness.addJob(`gang${number}`, [makeStep({ count: 3, accelerators: 8, isGang: true, estimatedMs: GANG_MS })], { queue: GANG_QUEUE })
  run(300)
  return replay
}

function addUrgentJob (harness: PlannerHarness, id: string, count: number): void {
  harness.addJob(id, [makeStep({ count, accelerators: 8, isGang: count > 1, estimatedMs: URGENT_MS })], { queue: URGENT })
}

test('the gangs of a class that is served worse are not stopped again and again for urgent work beyond a guarantee', t => {
  const { harness, run } = makeBusyReplay(0)
  for (let number = 0; number < 4; number++) {
    addUrgentJob(harness, `urgent${number}`, 2)
    run(1_000)
  }
  t.is(harness.listNotes('capacity taken back').length, 0)
  run(1_500)
  t.is(harness.planner.getJob('gang0')?.phase, 'completed')
})

test('urgent work beyond a guarantee stops the gang of a class that is served as well', t => {
  const { harness, run } = makeReplay()
  harness.planner.setPolicy({ queues: [URGENT, GANG_QUEUE], guarantees: [] })
  harness.addJob('gang', [makeStep({ count: 3, accelerators: 8, isGang: true, estimatedMs: GANG_MS })], { queue: GANG_QUEUE })
  run(300)
  addUrgentJob(harness, 'urgent', 2)
  run(300)
  t.is(harness.listNotes('capacity taken back').length, 1)
})

test('work that a guarantee covers stops a gang however its class is served', t => {
  const { harness, run } = makeBusyReplay(16)
  addUrgentJob(harness, 'urgent', 2)
  run(300)
  const [note] = harness.listNotes('capacity taken back')
  t.is(note?.['isGuaranteed'], true)
  // Eight jobs of 0.9 times the mean work are done, and one of 1.8 times waits: 8 * 0.93 / (8 * 0.93 + 1.56).
  t.deepEqual(note?.['shares'], { urgent: 0.83, gang: 1 / GANGS })
})

/** A job of one task that was accepted at time 0 and completed at the given time; `endedAt` is undefined for a job that waits. */
function makeJob (queue: QueuePolicy, endedAt: number | undefined): JobState {
  const job = createJobState({ id: 'j', organisation: 'o', queue, payload: '', steps: [makeStep({ estimatedMs: 5_000 })], acceptedAt: 0 }, 0)
  const [step] = addOccurrence(job, 0)
  if (step === undefined || endedAt === undefined) return job
  for (const task of step.tasks) task.isDone = true
  step.remaining = 0
  job.phase = JobPhase.completed
  job.endedAt = endedAt
  return job
}

test('a job counts for its class with its whole value if it is in time, with a quarter if it is late, and not at all while it waits', t => {
  const inTime = makeQueue({ name: 'in time' })
  const late = makeQueue({ name: 'late' })
  const mixed = makeQueue({ name: 'mixed' })
  // With a stretch of 3, the objective of 5 s of work is 16 s.
  const jobs = [makeJob(inTime, 16_000), makeJob(late, 17_000), makeJob(mixed, 16_000), makeJob(mixed, undefined)]
  const shares = new ClassShares({ runTimes: new RunTimeEstimator(), getWallTime: () => 20_000, listJobs: () => jobs })
  t.deepEqual([...shares.getShares()], [['in time', 1], ['late', 0.25], ['mixed', 0.5]])
  t.true(shares.isServedWorse('mixed', 'in time'))
  t.false(shares.isServedWorse('in time', 'late'))
  t.false(shares.isServedWorse('queue without jobs', 'in time'))
})
