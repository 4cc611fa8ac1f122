/**
 * Case 8 of the review: waits that end only when most of the service is free did not end on workers without accelerators, since the share in use was formed over accelerators alone, and of all services.
 */
import type { StepSpec } from '@dragonflylever/core/graphs/index'
import test from 'ava'

import { CAPACITY, PlannerHarness, makeQueue, makeStep } from './plannerHarness.js'
import type { FakeWorker } from './plannerHarness.js'

/** The requirements allow a job to wait this long while most of the service is free, in milliseconds. */
const MAX_WAIT_MS = 3_000
const OTHER_QUEUE = makeQueue({ name: 'other', service: 'other' })

/** Puts the fleet of a test in place. The racks are: one worker, which the tested work needs, and four others. */
interface Fleet {
  readonly name: string
  readonly arrange: (harness: PlannerHarness) => void
  readonly accelerators: number
}

const FLEETS: readonly Fleet[] = [
  {
    name: 'on workers without accelerators',
    arrange: harness => { for (const worker of harness.workers) worker.capacity = { ...CAPACITY, accelerators: 0 } },
    accelerators: 0
  },
  {
    name: 'beside lasting work of another service',
    arrange: harness => {
      for (const worker of harness.workers.slice(1)) worker.service = 'other'
      harness.addJob('lasting', [makeStep({ count: 4, accelerators: 8, isLongRunning: true })], { queue: OTHER_QUEUE })
    },
    accelerators: 1
  },
  {
    name: 'beside lasting work of another service that has no accelerators',
    arrange: harness => {
      for (const worker of harness.workers) worker.capacity = { ...CAPACITY, accelerators: 0 }
      for (const worker of harness.workers.slice(1)) worker.service = 'other'
      harness.addJob('lasting', [makeStep({ count: 4, accelerators: 0, cpuMillis: CAPACITY.cpuMillis, isLongRunning: true })], { queue: OTHER_QUEUE })
    },
    accelerators: 0
  }
]

function createHarness (fleet: Fleet): { readonly harness: PlannerHarness, readonly worker: FakeWorker } {
  const harness = new PlannerHarness([1, 4])
  fleet.arrange(harness)
  harness.run(500)
  const [worker] = harness.workers
  if (worker === undefined) throw new Error('invariant: the fleet has workers')
  return { harness, worker }
}

for (const fleet of FLEETS) {
  for (const isGang of [false, true]) {
    const count = isGang ? 2 : 1
    const step = makeStep({ count, isGang, accelerators: fleet.accelerators, requiredLabel: 'r0' })

    // LOST: the only worker that may run the task has failed it before, and the last attempt waited for a success there that never came.
    test(`the last attempt of a ${isGang ? 'gang' : 'task'} is made ${fleet.name}`, t => {
      const { harness, worker } = createHarness(fleet)
      harness.addJob('a', [step])
      for (let attempt = 1; attempt < 3; attempt++) {
        harness.run(MAX_WAIT_MS)
        harness.endRun('a.0.0.0', 'failed')
      }
      harness.run(MAX_WAIT_MS)
      t.is(harness.findWorker('a.0.0.0'), worker)
    })

    // LOST: the only worker that may run the task is avoided, and on probation afterwards, for the failures of other jobs.
    test(`a ${isGang ? 'gang' : 'task'} whose only worker is avoided starts ${fleet.name}`, t => {
      const { harness, worker } = createHarness(fleet)
      for (const id of ['x', 'y']) {
        harness.addJob(id, [step], { queue: makeQueue({ maxAttempts: 1 }) })
        harness.run(MAX_WAIT_MS)
        harness.endRun(`${id}.0.0.0`, 'failed')
        harness.run(300)
      }
      harness.addJob('a', [step])
      harness.run(MAX_WAIT_MS)
      for (let index = 0; index < count; index++) t.is(harness.findWorker(`a.0.0.${index}`), worker)
    })
  }
}

/** Work that takes most of one kind of capacity of a worker. */
const BUSY_STEPS: Readonly<Record<string, Partial<StepSpec>>> = {
  accelerators: { accelerators: 5 },
  processors: { accelerators: 0, cpuMillis: 80_000 },
  memory: { accelerators: 0, memoryMb: 300_000 }
}

// LOST: as without accelerators, nothing in use of nothing must not count as half.
test('the last attempt of a task is made on workers that report no memory', t => {
  const harness = new PlannerHarness([1, 4])
  for (const worker of harness.workers) worker.capacity = { ...CAPACITY, accelerators: 0, memoryMb: 0 }
  harness.addJob('a', [makeStep({ accelerators: 0, memoryMb: 0, requiredLabel: 'r0' })])
  for (let attempt = 1; attempt < 3; attempt++) {
    harness.run(MAX_WAIT_MS)
    harness.endRun('a.0.0.0', 'failed')
  }
  harness.run(MAX_WAIT_MS)
  t.is(harness.findWorker('a.0.0.0'), harness.workers[0])
})

// On a busy service, a step must not be sent to an avoided worker.
for (const [kind, needs] of Object.entries(BUSY_STEPS)) {
  test(`a step waits for a sound worker while most of the ${kind} of its service is in use`, t => {
    const harness = new PlannerHarness([1, 4])
    if (needs.accelerators === 0) for (const worker of harness.workers) worker.capacity = { ...CAPACITY, accelerators: 0 }
    const step = makeStep({ accelerators: 0, requiredLabel: 'r0' })
    harness.addJob('busy', [makeStep({ ...needs, count: 5, isLongRunning: true, maxPerWorker: 1 })])
    harness.run(500)
    for (const id of ['x', 'y']) {
      harness.addJob(id, [step], { queue: makeQueue({ maxAttempts: 1 }) })
      harness.run(300)
      harness.endRun(`${id}.0.0.0`, 'failed')
      harness.run(300)
    }
    harness.addJob('a', [step])
    harness.run(MAX_WAIT_MS)
    t.is(harness.findWorker('a.0.0.0'), undefined)
  })
}

/** Time after which the faults of a worker no longer count, and a worker that was avoided twice is no longer on probation, in milliseconds. */
const FORGOTTEN_MS = 35_000

// Without an end of their own, these waits lasted as long as other work kept most of the service in use.
for (const isGang of [false, true]) {
  const count = isGang ? 2 : 1
  const step = makeStep({ count, isGang, requiredLabel: 'r0' })

  test(`the last attempt of a ${isGang ? 'gang' : 'task'} is made in the end beside lasting work of its service`, t => {
    const harness = new PlannerHarness([1, 4])
    harness.addJob('lasting', [makeStep({ count: 5, accelerators: 6, isLongRunning: true, maxPerWorker: 1 })])
    harness.run(500)
    harness.addJob('a', [step])
    for (let attempt = 1; attempt < 3; attempt++) {
      harness.run(MAX_WAIT_MS)
      harness.endRun('a.0.0.0', 'failed')
    }
    harness.run(MAX_WAIT_MS)
    t.is(harness.findWorker('a.0.0.0'), undefined, 'the worker counts as faulty at first')
    harness.run(FORGOTTEN_MS)
    t.is(harness.findWorker('a.0.0.0'), harness.workers[0])
  })
}

// A worker on probation takes one run at a time until a run succeeds, which a gang that needs two there never does.
test('a gang that needs a worker on probation starts in the end beside lasting work of its service', t => {
  const harness = new PlannerHarness([1, 4])
  harness.addJob('lasting', [makeStep({ count: 5, accelerators: 6, isLongRunning: true, maxPerWorker: 1 })])
  harness.run(500)
  for (const id of ['x', 'y']) {
    harness.addJob(id, [makeStep({ requiredLabel: 'r0' })], { queue: makeQueue({ maxAttempts: 1 }) })
    harness.run(300)
    harness.endRun(`${id}.0.0.0`, 'failed')
    harness.run(300)
  }
  harness.addJob('a', [makeStep({ count: 2, isGang: true, requiredLabel: 'r0' })])
  harness.run(10_000)
  t.is(harness.findWorker('a.0.0.0'), undefined, 'the worker is on probation after it was avoided')
  harness.run(FORGOTTEN_MS)
  t.is(harness.findWorker('a.0.0.0'), harness.workers[0])
})

// LOST: the rule for tasks that last holds however full the service is, and whether other tasks of the job run or not.
test('a task that lasts starts at an avoided worker when there is no other, whatever else its job and its service run', t => {
  const harness = new PlannerHarness([1, 4])
  harness.addJob('lasting', [makeStep({ count: 4, accelerators: 8, isLongRunning: true, requiredLabel: 'r1' })])
  harness.run(500)
  // Each further failure doubles the time for which the worker is avoided, to 10 s here.
  for (const id of ['x', 'y', 'z']) {
    harness.addJob(id, [makeStep({ requiredLabel: 'r0' })], { queue: makeQueue({ maxAttempts: 1 }) })
    for (let waitedMs = 0; waitedMs < 6_000 && harness.findWorker(`${id}.0.0.0`) === undefined; waitedMs += 100) harness.run(100)
    harness.endRun(`${id}.0.0.0`, 'failed')
    harness.run(300)
  }
  harness.addJob('a', [makeStep({ isLongRunning: true, requiredLabel: 'r1', accelerators: 0 }), makeStep({ isLongRunning: true, requiredLabel: 'r0' })])
  harness.run(6_000)
  t.truthy(harness.findWorker('a.0.0.0'))
  t.is(harness.findWorker('a.0.1.0'), harness.workers[0])
})
