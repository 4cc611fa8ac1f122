/**
 * The planner's searches for places and for runs to stop skip work that can't change their result. On random fleets they decide the same as
 * the plain searches in `reference/`.
 */
import { RackPlacement } from '@dragonflylever/core/graphs/placement'
import { chooseReclaimPlan } from '@dragonflylever/core/graphs/reclaimPlan'
import type { ReclaimPlan } from '@dragonflylever/core/graphs/reclaimPlan'
import { VictimCatalogue } from '@dragonflylever/core/graphs/victimCatalogue'
import test from 'ava'
import fc from 'fast-check'

import { makeRandomFleet } from './randomFleet.js'
import { ReferencePlacement } from './reference/referencePlacement.js'
import { chooseReclaimPlan as chooseReferencePlan } from './reference/referenceReclaimPlan.js'

const FLEETS = fc.tuple(fc.nat(1_000_000), fc.integer({ min: 1, max: 4 }), fc.integer({ min: 1, max: 4 }), fc.integer({ min: 0, max: 14 }))
const RUNS = { numRuns: 3_000, seed: 20261204 }
const CHECKPOINT_MS = 2_000

function describePlan (plan: ReclaimPlan | undefined): object | undefined {
  if (plan === undefined) return undefined
  return { victims: plan.victims.map(run => run.task.name), slots: [...plan.slots].map(([worker, count]) => [worker.key.id, count]), loss: plan.loss }
}

test('the runs to stop are those of the plain search', t => {
  let planCount = 0
  fc.assert(fc.property(FLEETS, args => {
    const { waiting, snapshot, ...fleet } = makeRandomFleet(...args)
    const dependencies = { ...fleet, checkpointMs: CHECKPOINT_MS }
    const expected = chooseReferencePlan(waiting, snapshot, dependencies)
    const chosen = chooseReclaimPlan(waiting, snapshot, { ...fleet, victims: new VictimCatalogue(dependencies) })
    if ((expected?.victims.length ?? 0) > 0) planCount++
    t.deepEqual(describePlan(chosen), describePlan(expected))
  }), RUNS)
  t.true(planCount > RUNS.numRuns / 20, `only ${planCount} fleets need a stop`)
})

test('a search with a maximum loss returns the plan of the plain search, or one above the maximum if there is none below', t => {
  fc.assert(fc.property(FLEETS, fc.integer({ min: 0, max: 5_000 }), (args, maxLoss) => {
    const { waiting, snapshot, ...fleet } = makeRandomFleet(...args)
    const dependencies = { ...fleet, checkpointMs: CHECKPOINT_MS }
    const expected = chooseReferencePlan(waiting, snapshot, dependencies)
    const chosen = chooseReclaimPlan(waiting, snapshot, { ...fleet, victims: new VictimCatalogue(dependencies) }, maxLoss)
    t.is(chosen === undefined, expected === undefined)
    if (expected !== undefined && expected.loss <= maxLoss) t.deepEqual(describePlan(chosen), describePlan(expected))
    else if (expected !== undefined) t.true((chosen?.loss ?? 0) > maxLoss)
  }), RUNS)
})

test('tasks are placed where the plain search places them', t => {
  let placedCount = 0
  fc.assert(fc.property(FLEETS, args => {
    const { waiting, snapshot, ...fleet } = makeRandomFleet(...args)
    const expected = new ReferencePlacement(fleet).place(waiting, snapshot)
    const placed = new RackPlacement(fleet).place(waiting, snapshot)
    if (expected.length > 0) placedCount++
    t.deepEqual(placed.map(({ task, worker }) => [task.name, worker.key.id]), expected.map(({ task, worker }) => [task.name, worker.key.id]))
  }), RUNS)
  t.true(placedCount > RUNS.numRuns / 5, `only ${placedCount} steps could be placed`)
})
