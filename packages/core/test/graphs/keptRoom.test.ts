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
  { name: 'a task that lasts', step: { isLongRunning: true }, hold: () => {} }
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
