/**
 * Guards against LOST of review case 15: free room was kept for a gang whose forecast never came true, and a small job never started beside it. Each test sets up one reason for
 * which room is kept from work that could use it.
 */
import type { StepSpec } from '@dragonflylever/core/graphs/index'
import test from 'ava'

import { PlannerHarness, makeQueue, makeStep } from './plannerHarness.js'

const HELD_MS = 6_000
const SMALL_TASKS = 3
const GANG_QUEUE = makeQueue({ name: 'gang', priority: 1 })
const SMALL_QUEUE = makeQueue({ name: 'small', priority: 2 })
/** Long work of low priority goes after the gang in the order. */
const SMALL: Partial<StepSpec> = { estimatedMs: 600_000 }
const WIDE_GANG: Partial<StepSpec> = { count: 2, accelerators: 8, isGang: true, estimatedMs: 15_000 }

function countStarted (harness: PlannerHarness, job: string): number {
  return harness.workers.reduce((sum, { running }) => sum + running.filter(({ task }) => task.startsWith(`${job}.`)).length, 0)
}

/** A run that holds one accelerator of a fleet of two workers, so that a gang as wide as the fleet can't start. */
interface Holder {
  readonly name: string
  readonly step: Partial<StepSpec>
  readonly hold: (harness: PlannerHarness) => void
}

const HOLDERS: readonly Holder[] = [
  { name: 'a task that lasts', step: { isLongRunning: true }, hold: () => {} },
  { name: 'a run that has outlived its estimate', step: {}, hold: () => {} }
]

function createHeldFleet ({ step, hold }: Holder, estimatedMs: number): PlannerHarness {
  const harness = new PlannerHarness([2])
  harness.addJob('holder', [makeStep({ estimatedMs, ...step })], { queue: SMALL_QUEUE })
  harness.run(HELD_MS)
  hold(harness)
  harness.run(500)
  return harness
}

// LOST of review case 15, with the rest of the job: a task that lasts frees nothing that could be kept for a gang.
test('all tasks of a small job start although a gang waits beside a task that lasts', t => {
  const harness = createHeldFleet(HOLDERS[0] as Holder, 1_000)
  harness.addJob('gang', [makeStep(WIDE_GANG)], { queue: GANG_QUEUE })
  harness.run(1_000)
  harness.addJob('small', [makeStep({ ...SMALL, count: SMALL_TASKS })], { queue: SMALL_QUEUE })
  harness.run(500)
  t.is(countStarted(harness, 'small'), SMALL_TASKS)
})

// A prediction that had passed was repeated as "now", so that a worker was kept for a gang for as long as a run there went on.
test('a worker is no longer kept for a gang once its run is long overdue', t => {
  const harness = createHeldFleet(HOLDERS[1] as Holder, 1_000)
  const other = harness.workers.find(worker => worker !== harness.findWorker('holder.0.0.0'))
  harness.addJob('lasting', [makeStep({ accelerators: 2, isLongRunning: true, requiredLabel: other?.id ?? '' })], { queue: SMALL_QUEUE })
  harness.run(500)
  harness.addJob('gang', [makeStep({ ...WIDE_GANG, count: 1 })], { queue: GANG_QUEUE })
  harness.run(1_000)
  harness.addJob('small', [makeStep({ ...SMALL, count: 8 })], { queue: SMALL_QUEUE })
  harness.run(1_000)
  t.is(countStarted(harness, 'small'), 6)
  harness.run(20_000)
  t.is(countStarted(harness, 'small'), 8)
})
