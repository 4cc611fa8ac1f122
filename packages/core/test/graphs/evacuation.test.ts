/**
 * Evacuation of failure domains by the planner of job graphs: no task starts at a worker of an evacuated domain, its capacity is not counted, and the work
 * that runs there goes on. In each test, the workers of rack N belong to the failure domain `dN`.
 */
import { ArrivalOrder } from '@dragonflylever/core/graphs/index'
import type { RunTimeEstimator, StepSpec } from '@dragonflylever/core/graphs/index'
import test from 'ava'

import { PlannerHarness, makeQueue, makeStep } from './plannerHarness.js'
import type { FakeWorker } from './plannerHarness.js'

const URGENT = makeQueue({ name: 'urgent', priority: 0, stretch: 1.5, targetLatencyMs: 600 })
/** A step that fills a worker. */
const WHOLE: Partial<StepSpec> = { accelerators: 8, cpuMillis: 100_000 }

function createHarness (racks: readonly number[]): PlannerHarness {
  const harness = new PlannerHarness(racks)
  for (const worker of harness.workers) worker.failureDomain = `d${worker.rack.slice(1)}`
  return harness
}

function evacuate (harness: PlannerHarness, ...domains: string[]): void {
  harness.planner.setEvacuations(new Set(domains))
}

function findDomain (harness: PlannerHarness, task: string): string | undefined {
  return harness.findWorker(task)?.failureDomain
}

function listKeys (worker: FakeWorker): { id: string, born: number } {
  return { id: worker.id, born: worker.born }
}

/** Makes one turn in which the runs are assigned and stored, but their starts are not sent. */
function planWithoutStarts (harness: PlannerHarness): void {
  for (const worker of harness.workers) harness.planner.acceptReport(harness.report(worker), harness.now)
  harness.planner.plan(harness.now)
  harness.store()
}

/** Ways in which a task of the job `a` comes to start after the evacuation of its worker's domain; each begins with a run in `d0`. */
const PATHS: ReadonlyArray<{ readonly title: string, readonly step: Partial<StepSpec>, readonly act: (harness: PlannerHarness, worker: FakeWorker) => void }> = [
  { title: 'retry of a failed run', step: {}, act: harness => harness.endRun('a.0.0.0', 'failed') },
  { title: 'restart of a task that lasts', step: { isLongRunning: true }, act: harness => harness.endRun('a.0.0.0', 'failed') },
  { title: 'restart from a checkpoint', step: { isCheckpointing: true }, act: harness => harness.endRun('a.0.0.0', 'stopped', 'c1') },
  { title: 'restart after a crash of the worker', step: {}, act: (harness, worker) => { harness.restartWorker(worker, 'successor').failureDomain = worker.failureDomain } },
  { title: 'repair of a gang', step: { isGang: true }, act: harness => harness.endRun('a.0.0.0', 'broken') }
]

for (const { title, step, act } of PATHS) {
  test(`no task starts in an evacuated failure domain: ${title}`, t => {
    const harness = createHarness([1, 1])
    const other = harness.workers.pop()
    harness.addJob('a', [makeStep(step)])
    harness.run(300)
    const worker = harness.findWorker('a.0.0.0')
    if (worker === undefined || other === undefined) return t.fail()
    evacuate(harness, 'd0')
    act(harness, worker)
    harness.run(10_000)
    t.is(harness.findWorker('a.0.0.0'), undefined)
    harness.workers.push(other)
    harness.run(5_000)
    t.is(findDomain(harness, 'a.0.0.0'), 'd1')
  })
}

test('no task starts in an evacuated failure domain: first starts, later steps and occurrences of a repeated job', t => {
  const harness = createHarness([2, 1])
  evacuate(harness, 'd0')
  harness.addJob('a', [makeStep(), makeStep({ after: [0] })], { repeat: { count: 4, intervalMs: 300, firstRunAt: harness.wallTime } })
  for (let occurrence = 0; occurrence < 4; occurrence++) {
    harness.run(400)
    for (const step of [0, 1]) {
      t.is(findDomain(harness, `a.${occurrence}.${step}.0`), 'd1')
      harness.endRun(`a.${occurrence}.${step}.0`, 'done')
      harness.run(200)
    }
  }
})

test('the runs of an evacuated failure domain that work go on, and one that is done ends its job', t => {
  const harness = createHarness([1, 1])
  harness.addJob('a', [makeStep({ count: 9 })])
  harness.run(300)
  evacuate(harness, 'd0', 'd1')
  harness.run(20_000)
  t.deepEqual(harness.listNotes('run stopping'), [])
  for (let index = 0; index < 9; index++) harness.endRun(`a.0.0.${index}`, 'done')
  harness.run(300)
  t.is(harness.planner.getJob('a')?.phase, 'completed')
})

test('an assigned run is neither sent nor kept once its failure domain is evacuated, and the task starts elsewhere', t => {
  const harness = createHarness([1, 1])
  harness.addJob('a', [makeStep()])
  planWithoutStarts(harness)
  const worker = harness.workers.find(one => harness.planner.hasOrders(listKeys(one)))
  if (worker === undefined) return t.fail()
  evacuate(harness, worker.failureDomain)
  t.false(harness.planner.hasOrders(listKeys(worker)))
  t.deepEqual(harness.planner.answerReport(listKeys(worker), harness.now, true)?.starts, [])
  harness.run(500)
  t.is(harness.listNotes('run stopping')[0]?.['reason'], 'its failure domain is evacuated')
  t.truthy(findDomain(harness, 'a.0.0.0'))
  t.not(findDomain(harness, 'a.0.0.0'), worker.failureDomain)
})

for (const [title, percent, stoppedCount] of [['stops with all its members while it makes no progress', 0, 2], ['goes on if it works already', 5, 0]] as const) {
  test(`a gang with a member in an evacuated failure domain whose start is not confirmed ${title}`, t => {
    const harness = createHarness([1, 1])
    harness.addJob('a', [makeStep({ ...WHOLE, count: 2, isGang: true })])
    planWithoutStarts(harness)
    const [absent, other] = harness.workers as [FakeWorker, FakeWorker]
    other.running = harness.planner.answerReport(listKeys(other), harness.now, true)?.starts.map(({ task, run }) => ({ task, run, checkpoint: '', percent, usage: 0 })) ?? []
    t.is(other.running.length, 1)
    evacuate(harness, absent.failureDomain)
    planWithoutStarts(harness)
    t.is(harness.listNotes('run stopping').length, stoppedCount)
    t.deepEqual(harness.planner.answerReport(listKeys(absent), harness.now, true)?.starts, [])
  })
}

test('a planner that takes over does not stop the recorded runs of an evacuated failure domain before their worker has listed them', t => {
  const harness = createHarness([1, 1])
  harness.addJob('a', [makeStep({ count: 12 })])
  harness.run(300)
  harness.replacePlanner()
  evacuate(harness, 'd0')
  for (const worker of harness.workers) harness.planner.acceptReport({ ...harness.report(worker), listNumber: 0, running: [] }, harness.now)
  harness.planner.plan(harness.now)
  t.deepEqual(harness.listNotes('run stopping'), [])
  harness.run(3_000)
  t.deepEqual(harness.listNotes('run stopping'), [])
  t.is(harness.workers.flatMap(worker => worker.running).length, 12)
})

test('when the last failure domain that could run a job is evacuated, the job waits, and it starts as soon as the request is withdrawn', t => {
  const harness = createHarness([2, 1])
  for (const worker of harness.workers) worker.capacity = { ...worker.capacity, accelerators: worker.failureDomain === 'd0' ? 8 : 1 }
  evacuate(harness, 'd0')
  for (const [id, step, overrides] of [['a', makeStep(WHOLE), {}], ['b', makeStep({ ...WHOLE, isGang: true }), { queue: URGENT }]] as const) harness.addJob(id, [step], overrides)
  harness.run(60_000)
  t.is(harness.planner.getJob('a')?.phase, 'queued')
  t.is(harness.planner.getJob('b')?.phase, 'queued')
  t.deepEqual(harness.listNotes('run assigned'), [])
  evacuate(harness)
  harness.run(200)
  t.is(findDomain(harness, 'a.0.0.0'), 'd0')
  t.is(findDomain(harness, 'b.0.0.0'), 'd0')
})

test('of two failure domains that are evacuated at once, each is used again only after its own withdrawal', t => {
  const harness = createHarness([1, 1])
  evacuate(harness, 'd0', 'd1')
  harness.addJob('a', [makeStep()])
  harness.run(2_000)
  t.is(harness.findWorker('a.0.0.0'), undefined)
  evacuate(harness, 'd0')
  harness.run(300)
  t.is(findDomain(harness, 'a.0.0.0'), 'd1')
})

test('a request that is withdrawn within a second leaves the planner as before', t => {
  const harness = createHarness([1])
  harness.addJob('a', [makeStep()])
  planWithoutStarts(harness)
  evacuate(harness, 'd0')
  evacuate(harness)
  harness.run(300)
  t.is(findDomain(harness, 'a.0.0.0'), 'd0')
  harness.addJob('b', [makeStep()])
  planWithoutStarts(harness)
  evacuate(harness, 'd0')
  harness.run(300)
  t.is(harness.findWorker('b.0.0.0'), undefined)
  evacuate(harness)
  harness.run(500)
  t.is(findDomain(harness, 'b.0.0.0'), 'd0')
  t.is(harness.findWorker('a.0.0.0')?.running[0]?.run, 1)
})

test('urgent work stops no run for a slot in an evacuated failure domain', t => {
  const harness = createHarness([1, 1])
  harness.addJob('a', [makeStep({ ...WHOLE, count: 2, estimatedMs: 60_000 })])
  harness.run(1_000)
  evacuate(harness, 'd0')
  harness.planner.setPolicy({ queues: [], guarantees: [{ organisation: 'o', accelerators: 8 }] })
  harness.addJob('b', [makeStep(WHOLE)], { queue: URGENT })
  harness.run(1_000)
  t.deepEqual(harness.listNotes('run stopping').map(({ worker }) => worker), ['w10'])
  t.is(findDomain(harness, 'b.0.0.0'), 'd1')
})

test('a slot that is reserved for urgent work is given up for one elsewhere when its failure domain is evacuated', t => {
  const harness = createHarness([1, 1])
  harness.addJob('a', [makeStep({ ...WHOLE, count: 2, estimatedMs: 60_000 })])
  harness.run(1_000)
  harness.planner.setPolicy({ queues: [], guarantees: [{ organisation: 'o', accelerators: 8 }] })
  harness.addJob('b', [makeStep(WHOLE)], { queue: URGENT })
  planWithoutStarts(harness)
  const reserved = harness.workers.find(({ id }) => id === harness.listNotes('run stopping')[0]?.['worker'])
  evacuate(harness, reserved?.failureDomain ?? '')
  harness.run(1_000)
  t.truthy(findDomain(harness, 'b.0.0.0'))
  t.not(findDomain(harness, 'b.0.0.0'), reserved?.failureDomain)
})

test('a step does not wait for the rack of its data while the failure domain of that rack is evacuated', t => {
  const harness = createHarness([1, 1])
  evacuate(harness, 'd1')
  harness.addJob('a', [makeStep({ dataRack: 'r1' })])
  harness.run(300)
  t.is(findDomain(harness, 'a.0.0.0'), 'd0')
})

test('free capacity in an evacuated failure domain does not make a step starve, which would then leave the rack of its data', t => {
  const harness = createHarness([1, 1, 3])
  harness.addJob('a', [makeStep({ ...WHOLE, dataRack: 'r0' })])
  harness.run(300)
  evacuate(harness, 'd2')
  harness.addJob('b', [makeStep({ ...WHOLE, dataRack: 'r0' })])
  harness.run(4_000)
  t.is(harness.findWorker('b.0.0.0'), undefined)
})

test('while starts must not be sent, orders contain none, and a start alone is no reason to answer a report', t => {
  const harness = createHarness([1])
  harness.addJob('a', [makeStep()])
  planWithoutStarts(harness)
  const [worker] = harness.workers as [FakeWorker]
  t.false(harness.planner.hasOrders(listKeys(worker), false))
  t.deepEqual(harness.planner.answerReport(listKeys(worker), harness.now, true, false)?.starts, [])
  t.true(harness.planner.hasOrders(listKeys(worker), true))
  t.is(harness.planner.answerReport(listKeys(worker), harness.now, true, true)?.starts.length, 1)
})

test('a worker that is slow after its start is used last', t => {
  const harness = createHarness([2, 2])
  for (const worker of harness.workers) if (worker.id !== 'w01') worker.coldLeftMs = 5_000
  harness.addJob('a', [makeStep({ count: 8 })])
  harness.run(300)
  t.is(harness.findWorker('a.0.0.7')?.id, 'w01')
  harness.addJob('b', [makeStep()])
  harness.run(300)
  t.truthy(harness.findWorker('b.0.0.0'))
})

test('a gang that needs one rack takes one with enough workers that are not slow after their start, also if a rack with slow ones fits more tightly', t => {
  const harness = createHarness([1, 2])
  const [first] = harness.workers as [FakeWorker]
  first.coldLeftMs = 5_000
  harness.addJob('a', [makeStep({ count: 2, accelerators: 4, isGang: true, isSameRack: true })])
  harness.run(300)
  t.is(harness.findWorker('a.0.0.0')?.rack, 'r1')
})

test('the duration of a run at a worker that is slow after its start, or in a gang with such a worker, is not learned', t => {
  for (const { isGang, isCold, isLearned } of [{ isGang: false, isCold: false, isLearned: true }, { isGang: false, isCold: true, isLearned: false }, { isGang: true, isCold: true, isLearned: false }]) {
    let estimator: RunTimeEstimator | undefined
    const harness = new PlannerHarness([2], {
      createOrder: runTimes => {
        estimator = runTimes
        return new ArrivalOrder()
      }
    })
    const [first] = harness.workers as [FakeWorker]
    harness.addJob('a', [makeStep({ ...WHOLE, count: 2, isGang, estimatedMs: 1_000 })])
    harness.run(300)
    if (isCold) first.coldLeftMs = 300
    harness.run(200)
    first.coldLeftMs = undefined
    harness.run(9_500)
    const ending = isGang ? harness.workers[1] : first
    harness.endRun(ending?.running[0]?.task ?? '', 'done')
    harness.run(300)
    const step = harness.planner.getJob('a')?.occurrences.get(0)?.[0]
    if (step === undefined) return t.fail()
    t.is((estimator?.estimateRunTime(step) ?? 0) > 1_000, isLearned)
  }
})

test('a run does not count as stalled while its worker is slow after its start', t => {
  for (const [coldLeftMs, stoppedCount] of [[30_000, 0], [undefined, 1]] as const) {
    const harness = createHarness([1])
    const [worker] = harness.workers as [FakeWorker]
    worker.coldLeftMs = coldLeftMs
    harness.addJob('a', [makeStep()])
    harness.run(300)
    harness.setPercent('a.0.0.0', 2)
    harness.run(9_000)
    t.is(harness.listNotes('run stopping').length, stoppedCount)
  }
})
