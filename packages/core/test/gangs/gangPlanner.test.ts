/**
 * Tests the invariants of the gang planner over any sequence of submissions, ends, reclaims and lost workers, and single decisions.
 */
import { GangAdjacency, JobFailure, WorkerState } from '@dragonflylever/core'
import type { Guarantee, JobSpec } from '@dragonflylever/core'
import test from 'ava'
import fc from 'fast-check'

import { findOvercommitted, makeFleet, makeSpec, makeWorkers, runPass, finishReclaims, submitJob } from './plannerFixture.js'
import type { FleetFixture } from './plannerFixture.js'

const GUARANTEES: readonly Guarantee[] = [
  { organisation: 'guild', accelerators: 8, adjacency: GangAdjacency.worker, count: 1, startWithinMs: 2_000 },
  { organisation: 'crisp', accelerators: 16, adjacency: GangAdjacency.rack, count: 1, startWithinMs: 2_000 },
  { organisation: 'crisp', accelerators: 4, adjacency: GangAdjacency.worker, count: 2, startWithinMs: 2_000 }
]

const specChanges = fc.record({
  organisation: fc.constantFrom('guild', 'crisp', 'guest'),
  tasks: fc.constantFrom(1, 1, 2, 3, 4, 8),
  shape: fc.record({ accelerators: fc.constantFrom(0, 1, 2, 4, 8), cores: fc.constantFrom(1, 4, 8, 32), memoryGb: fc.constantFrom(1, 16, 64) }),
  adjacency: fc.constantFrom(...Object.values(GangAdjacency)),
  isCheckpointable: fc.boolean()
})

type FleetCommand = fc.Command<object, FleetFixture>

function makeCommand (label: string, run: (fleet: FleetFixture) => void): FleetCommand {
  return { check: () => true, run: (_model, fleet) => run(fleet), toString: () => label }
}

function makeSubmit (changes: Partial<JobSpec>): FleetCommand {
  return makeCommand(`submit ${JSON.stringify(changes)}`, fleet => {
    submitJob(fleet, makeSpec(`job${fleet.now++}`, changes))
    runVerifiedPass(fleet)
  })
}

function makeFinish (pick: number): FleetCommand {
  return makeCommand(`finish ${pick}`, fleet => {
    const ids = [...fleet.running.keys()]
    fleet.running.delete(ids[pick % Math.max(1, ids.length)] ?? '')
    runVerifiedPass(fleet)
  })
}

function makeFinishReclaims (): FleetCommand {
  return makeCommand('finish reclaims', fleet => {
    finishReclaims(fleet)
    runVerifiedPass(fleet)
  })
}

/**
 * Submits jobs for all guaranteed shapes at once; each must start after one checkpoint. Reclaimed jobs are removed from the queue,
 * since they might use a guaranteed shape.
 */
function makeClaim (): FleetCommand {
  return makeCommand('claim', fleet => {
    finishReclaims(fleet)
    const claims = submitGuaranteedJobs(fleet)
    runVerifiedPass(fleet)
    finishReclaims(fleet)
    for (const id of fleet.waiting.keys()) if (!claims.includes(id)) fleet.waiting.delete(id)
    runVerifiedPass(fleet)
    const missing = claims.filter(id => !fleet.running.has(id))
    if (missing.length > 0) throw new Error(`guaranteed shapes are not free after one checkpoint: ${missing.join()}`)
  })
}

function runVerifiedPass (fleet: FleetFixture): void {
  runPass(fleet)
  const overcommitted = findOvercommitted(fleet)
  if (overcommitted.length > 0) throw new Error(`more than the capacity is in use on ${overcommitted.join()}`)
}

const sequence = fc.commands([
  specChanges.map(makeSubmit),
  specChanges.map(makeSubmit),
  fc.nat(20).map(makeFinish),
  fc.constant(makeFinishReclaims())
], { maxCommands: 60, size: 'max' })

/**
 * Ends all jobs that run on guaranteed shapes, then submits jobs that together use every guaranteed shape completely. Returns the ids of
 * the new jobs.
 */
function submitGuaranteedJobs (fleet: FleetFixture): string[] {
  for (const [id, job] of fleet.running) if (job.coveredBy.length > 0) fleet.running.delete(id)
  fleet.waiting.clear()
  return fleet.guarantees.flatMap((guarantee, index) => Array.from({ length: guarantee.count }, (_, copy) => {
    const size = Math.min(8, guarantee.accelerators)
    const spec = makeSpec(`claim${index}-${copy}`, {
      organisation: guarantee.organisation,
      tasks: guarantee.accelerators / size,
      shape: { accelerators: size, cores: size * 4, memoryGb: size * 16 },
      adjacency: guarantee.adjacency
    })
    submitJob(fleet, spec)
    return spec.id
  }))
}

test('after any sequence of commands no resource of a worker is overcommitted, and capacity for all guaranteed shapes can be reclaimed', t => {
  t.notThrows(() => fc.assert(fc.property(sequence, commands => {
    fc.modelRun(() => {
      const fleet = makeFleet(makeWorkers(6), GUARANTEES)
      return { model: {}, real: fleet }
    }, [...commands, makeClaim()])
  }), { seed: 51, numRuns: 1_000 }))
})

test('a gang that does not fit even in an empty fleet fails without waiting', t => {
  const fleet = makeFleet(makeWorkers(9))
  submitJob(fleet, makeSpec('never', { tasks: 4, shape: { accelerators: 8, cores: 1, memoryGb: 1 }, adjacency: GangAdjacency.rack }))
  runPass(fleet)
  t.is(fleet.failed.get('never'), JobFailure.neverFits)
})

test('a gang waits instead of failing while workers that it needs are lost', t => {
  const fleet = makeFleet(makeWorkers(3).map((worker, index) => index === 0 ? { ...worker, state: WorkerState.lost } : worker))
  submitJob(fleet, makeSpec('rack', { tasks: 3, shape: { accelerators: 8, cores: 1, memoryGb: 1 }, adjacency: GangAdjacency.rack }))
  runPass(fleet)
  t.true(fleet.waiting.has('rack'))
})

test('small jobs do not use the workers reserved for a large gang if they would end after the expected start of the gang', t => {
  const fleet = makeFleet(makeWorkers(3))
  submitJob(fleet, makeSpec('first', { shape: { accelerators: 8, cores: 1, memoryGb: 1 } }))
  runPass(fleet)
  submitJob(fleet, makeSpec('large', { tasks: 3, shape: { accelerators: 8, cores: 1, memoryGb: 1 }, adjacency: GangAdjacency.rack, finishWithinMs: 100_000 }))
  fleet.now = 30_000
  submitJob(fleet, makeSpec('long', { declaredRunMs: 500_000, finishWithinMs: 900_000 }))
  submitJob(fleet, makeSpec('short', { declaredRunMs: 1_000 }))
  runPass(fleet)
  t.deepEqual([...fleet.running.keys()], ['first', 'short'])
})

test('a job that fails on three workers fails for good, and a worker on which two jobs fail is quarantined', t => {
  const fleet = makeFleet(makeWorkers(3))
  for (const worker of ['w0', 'w1', 'w2']) fleet.failureAttribution.recordFailure('bad', worker, 0)
  fleet.failureAttribution.recordFailure('a', 'w0', 0)
  fleet.failureAttribution.recordFailure('b', 'w0', 0)
  for (const id of ['bad', 'x', 'y']) submitJob(fleet, makeSpec(id))
  const actions = runPass(fleet)
  t.is(fleet.failed.get('bad'), JobFailure.failsEverywhere)
  t.deepEqual(actions.filter(action => action.kind === 'quarantine').map(action => action.workerId), ['w0'])
  t.false([...fleet.running.values()].some(job => job.placement.includes('w0')))
})
