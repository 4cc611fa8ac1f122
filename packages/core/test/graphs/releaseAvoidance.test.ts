/**
 * Replays rolling releases: a few workers at a time are replaced by workers of a newer version, and drain for some seconds before they leave.
 */
import test from 'ava'

import { PlannerHarness, makeQueue, makeStep } from './plannerHarness.js'
import type { FakeWorker } from './plannerHarness.js'

const NOTICE_MS = 5_500
const ROUND_MS = 900
const RACKS = [6, 6]
const GANG = makeStep({ count: 4, accelerators: 8, isGang: true, estimatedMs: 12_000 })

/** Adds a worker of the new version beside each of the given ones, and drains these. */
function replaceWorkers (harness: PlannerHarness, workers: readonly FakeWorker[]): void {
  for (const worker of workers) {
    harness.workers.push({ ...worker, id: `${worker.id}-new`, address: `${worker.id}-new:1`, born: worker.born + harness.now, version: 'v2', running: [], ended: [], orders: [] })
    worker.isDraining = true
    worker.drainLeftMs = NOTICE_MS
  }
}

function createFleet (): PlannerHarness {
  const harness = new PlannerHarness(RACKS)
  for (const worker of harness.workers) worker.version = 'v1'
  harness.run(500)
  return harness
}

/** Replaces two workers each round and returns how often the tasks of the job were started. */
function countStarts (harness: PlannerHarness, rounds: number): number {
  const old = [...harness.workers]
  for (let round = 0; round < rounds; round++) {
    replaceWorkers(harness, old.slice(round * 2, round * 2 + 2))
    harness.run(ROUND_MS)
  }
  harness.run(6_000)
  return harness.listNotes('run assigned').length
}

test('a long gang without checkpoints that a release has moved starts once more, on workers of the new version, and is not moved again', t => {
  const harness = createFleet()
  harness.addJob('a', [GANG])
  harness.run(500)
  const starts = countStarts(harness, 4)
  t.is(starts, 8, 'the gang was moved more than once')
  t.true(harness.workers.filter(worker => worker.running.length > 0).every(worker => worker.version === 'v2'))
})

test('a run that ends within the notice of a draining worker starts on any worker during a release', t => {
  const harness = createFleet()
  replaceWorkers(harness, harness.workers.slice(0, 1))
  harness.run(300)
  harness.addJob('a', [makeStep({ count: 40, accelerators: 1, estimatedMs: 3_000 })])
  harness.run(300)
  t.true(harness.workers.some(worker => worker.version === 'v1' && worker.running.length > 0))
})

test('a job that can\'t wait without missing its objective starts on workers that a release may replace', t => {
  const harness = createFleet()
  replaceWorkers(harness, harness.workers.slice(0, 1))
  harness.run(300)
  harness.addJob('a', [GANG], { queue: makeQueue({ stretch: 1.1, targetLatencyMs: 100 }) })
  harness.run(300)
  t.is(harness.listNotes('run assigned').length, 4)
})

test('workers that drain without a newer version keep no work away from the others', t => {
  const harness = createFleet()
  const [leaving] = harness.workers
  if (leaving !== undefined) leaving.isDraining = true
  harness.run(300)
  harness.addJob('a', [GANG])
  harness.run(300)
  t.is(harness.listNotes('run assigned').length, 4)
})

test('a job waits for a release no longer than 2.5 s while most of the fleet is free', t => {
  const harness = createFleet()
  replaceWorkers(harness, harness.workers.slice(0, 1))
  harness.run(300)
  harness.addJob('a', [GANG])
  harness.run(2_000)
  t.is(harness.listNotes('run assigned').length, 0)
  harness.run(1_000)
  t.is(harness.listNotes('run assigned').length, 4)
})
