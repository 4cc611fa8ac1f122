/**
 * Which jobs are refused, by a published forecast: only those that would be worth nothing for certain, in the right order, and never guaranteed work.
 */
import { decideAdmission } from '@dragonflylever/core/graphs/index'
import type { AdmissionDecision, AdmissionForecast, AdmissionRequest, HopelessShape, StepSpec } from '@dragonflylever/core/graphs/index'
import test from 'ava'

import { PlannerHarness, makeQueue, makeStep } from './plannerHarness.js'

/** A job of this queue with a chain of 5 s has an objective of 16 s, so it has to start within 43 s. */
const QUEUE = makeQueue()
const LIMIT_MS = 43_000
const SHAPE: HopelessShape = { queue: QUEUE.name, tasks: 2, cpuMillis: 1_000, memoryMb: 1_000, accelerators: 4, chainMs: 5_000, coreSeconds: 10, runTimeScale: 1, optimisticMs: LIMIT_MS + 1, expectedMs: LIMIT_MS + 6_000 }
const WIDE = { count: 2, isGang: true, accelerators: 4 }

function decide (step: Partial<StepSpec> = {}, request: Partial<AdmissionRequest> = {}, forecast: Partial<AdmissionForecast> = {}, random = 0): AdmissionDecision {
  const whole = { shapes: [SHAPE], organisations: { [QUEUE.name]: ['served', 'middle', 'least'] }, ...forecast }
  return decideAdmission(whole, { queue: QUEUE, steps: [makeStep({ ...WIDE, ...step })], organisation: 'served', guaranteedAccelerators: 0, returns: 0, ...request }, random)
}

function getRetryMs (decision: AdmissionDecision): number {
  return decision.kind === 'refused' ? decision.retryAfterMs : 0
}

test('a job is refused only if its shape needs no less than one that is forecast to start too late', t => {
  t.is(decide().kind, 'refused')
  t.is(decide({ count: 3, memoryMb: 9_000 }).kind, 'refused')
  for (const smaller of [{ count: 1 }, { isGang: false }, { accelerators: 2 }, { memoryMb: 500 }, { cpuMillis: 500 }, { estimatedMs: 4_999 }]) t.is(decide(smaller).kind, 'accepted', JSON.stringify(smaller))
  t.is(decide({}, { queue: makeQueue({ name: 'other' }) }).kind, 'accepted')
  t.is(decide({ isLongRunning: true }).kind, 'accepted')
  t.is(decide({}, {}, { shapes: [] }).kind, 'accepted')
})

// A job was refused for the room of all its tasks in one rack, which it can do without.
test('a job whose step should run in one rack, but is no gang, is not taken for one whose tasks have to start together', t => {
  t.is(decide({ isSameRack: true }).kind, 'refused')
  t.is(decide({ isSameRack: true, isGang: false }).kind, 'accepted')
})

test('a job with a longer chain has a longer objective, so it may start later; so has one whose run times are declared too short', t => {
  t.is(decide({ estimatedMs: 6_000 }).kind, 'accepted')
  t.is(decide({}, {}, { shapes: [{ ...SHAPE, runTimeScale: 1.5 }] }).kind, 'accepted')
})

test('urgent work that the guarantee of its organisation can hold is never refused, whatever else the organisation runs', t => {
  const urgent = makeQueue({ priority: 0 })
  t.is(decide({}, { queue: urgent }).kind, 'refused')
  t.is(decide({}, { queue: urgent, guaranteedAccelerators: 8 }).kind, 'accepted')
  t.is(decide({}, { guaranteedAccelerators: 8 }).kind, 'refused', 'a guarantee covers work of priority 0')
})

test('the organisations that are served least, those without recent jobs and callers who came back as told are refused last and told to come back first', t => {
  t.is(decide({}, { organisation: 'least' }).kind, 'accepted')
  t.is(decide({}, { organisation: 'new' }).kind, 'accepted')
  t.is(decide({}, { returns: 1 }).kind, 'accepted')
  const later = { shapes: [{ ...SHAPE, optimisticMs: 3 * LIMIT_MS, expectedMs: 3 * LIMIT_MS }] }
  t.is(decide({}, { organisation: 'least' }, later).kind, 'refused')
  t.true(getRetryMs(decide({}, { organisation: 'least' }, later)) < getRetryMs(decide({}, { organisation: 'served' }, later)))
})

test('clients are told to come back when room is expected, in whole seconds from 1 s on, at different times', t => {
  t.is(getRetryMs(decide()), 9_000)
  t.is(getRetryMs(decide({}, {}, { shapes: [{ ...SHAPE, expectedMs: SHAPE.optimisticMs }] })), 2_000)
  t.true(getRetryMs(decide({}, {}, {}, 0.99)) > getRetryMs(decide()))
})

test('the planner lists a shape only while a job of that shape would be worth nothing: behind work that stays in time for longer than that', t => {
  const harness = new PlannerHarness([1])
  harness.run(200)
  t.deepEqual(harness.planner.createAdmissionForecast(harness.now), { shapes: [], organisations: {} })
  // The long gang needs the whole worker for 100 s, and the short job the same for 1 s.
  const needs = { accelerators: 8, cpuMillis: 100_000 }
  const short = makeQueue({ name: 'short', priority: 2, stretch: 1, targetLatencyMs: 0 })
  harness.addJob('long', [makeStep({ ...needs, estimatedMs: 100_000 })], { organisation: 'a' })
  harness.run(500)
  harness.addJob('short', [makeStep({ ...needs, estimatedMs: 1_000 })], { queue: short, organisation: 'b' })
  harness.run(500)
  const { shapes, organisations } = harness.planner.createAdmissionForecast(harness.now)
  t.like(shapes[0], { queue: 'short', tasks: 1, accelerators: 8, chainMs: 1_000 })
  t.deepEqual(organisations, { short: ['b'] })
  t.is(decideAdmission({ shapes, organisations }, { queue: short, steps: [makeStep({ ...needs, estimatedMs: 1_000 })], organisation: 'b', guaranteedAccelerators: 0, returns: 0 }, 0).kind, 'refused')
})
