/**
 * The planner's searches for places and for runs to stop skip work that can't change their result. On random fleets they decide the same as
 * the plain searches in `reference/`.
 */
import type { SpeedSource } from '@dragonflylever/core/graphs/index'
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

/** Speeds that differ from worker to worker; the planner takes them into account only if they are reported as differences. */
function makeSpeeds (hasDifferences: boolean): SpeedSource {
  return { hasDifferences, getFactor: id => [0.6, 1, 1.6][Number(id.slice(1)) % 3] ?? 1 }
}

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

test('tasks are placed where the plain search places them, also when factors differ but no differences are reported', t => {
  let placedCount = 0
  fc.assert(fc.property(FLEETS, args => {
    const { waiting, snapshot, ...fleet } = makeRandomFleet(...args, makeSpeeds(false))
    const expected = new ReferencePlacement(fleet).place(waiting, snapshot)
    const placed = new RackPlacement(fleet).place(waiting, snapshot)
    if (expected.length > 0) placedCount++
    t.deepEqual(placed.map(({ task, worker }) => [task.name, worker.key.id]), expected.map(({ task, worker }) => [task.name, worker.key.id]))
  }), RUNS)
  t.true(placedCount > RUNS.numRuns / 5, `only ${placedCount} steps could be placed`)
})

test('as many tasks are placed by speed as the plain search places, within the same racks and the room of each worker', t => {
  let movedCount = 0
  fc.assert(fc.property(FLEETS, args => {
    const { waiting, snapshot, ...fleet } = makeRandomFleet(...args, makeSpeeds(true))
    const expected = new ReferencePlacement(fleet).place(waiting, snapshot)
    const placed = new RackPlacement(fleet).place(waiting, snapshot)
    t.is(placed.length, expected.length)
    if (placed.some(({ worker }, index) => worker !== expected[index]?.worker)) movedCount++
    const countRacks = (tasks: typeof placed): number => new Set(tasks.map(({ worker }) => worker.report?.rack)).size
    if (waiting.step.spec.isSameRack && countRacks(expected) === 1) t.is(countRacks(placed), 1)
    for (const { worker } of placed) {
      const count = placed.filter(one => one.worker === worker).length
      t.true(fleet.isEligible(worker) && count <= Math.min(snapshot.countFits(worker, waiting.step), fleet.getTaskLimit(worker)))
    }
  }), RUNS)
  t.true(movedCount > RUNS.numRuns / 20, `speed decides on only ${movedCount} fleets`)
})
