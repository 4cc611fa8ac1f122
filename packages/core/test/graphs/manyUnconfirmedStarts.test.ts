/**
 * Guards against LOST found beside review case 14: thousands of subtasks used up the unconfirmed starts that a worker may have, in each pass, and a small job had no start for half a
 * minute beside nearly empty workers.
 */
import type { QueuePolicy } from '@dragonflylever/core/graphs/index'
import test from 'ava'

import { PlannerHarness, makeQueue, makeStep } from './plannerHarness.js'

/** The requirements allow a job to wait this long while most of the service is free, in milliseconds. */
const MAX_WAIT_MS = 3_000
const TURN_MS = 500
const TINY_STEP = makeStep({ cpuMillis: 1, memoryMb: 1, accelerators: 0, estimatedMs: 2_000 })

function createFleetWithTinyTasks (jobs: number, count: number, queue: QueuePolicy): PlannerHarness {
  const harness = new PlannerHarness([2])
  for (let index = 0; index < jobs; index++) harness.addJob(`tiny${index}`, [{ ...TINY_STEP, count }], { queue })
  harness.run(TURN_MS, TURN_MS)
  return harness
}

for (const priority of [0, 1]) {
  for (const { jobs, count } of [{ jobs: 6, count: 3_500 }, { jobs: 20, count: 1_000 }]) {
    test(`a small job starts although ${jobs} jobs of ${count} tasks of priority ${priority} wait before it`, t => {
      const harness = createFleetWithTinyTasks(jobs, count, makeQueue({ name: 'tiny', priority }))
      harness.addJob('small', [makeStep({ cpuMillis: 2_800, memoryMb: 15_000 })], { queue: makeQueue({ name: 'small' }) })
      harness.run(MAX_WAIT_MS, TURN_MS)
      t.truthy(harness.findWorker('small.0.0.0'))
    })
  }
}
