/**
 * Tests that a simulated fleet with workers of different speed behaves as real workers do: comparisons of decisions would otherwise measure the simulation.
 */
import type { RunListing, WorkerReport } from '@dragonflylever/core/graphs/index'
import test from 'ava'

import { UNEVEN_CLASSES, UNEVEN_FLEET, makeGraphLoad } from '../../src/graphs/graphWorkload.js'
import { SimulatedWorker } from '../../src/graphs/simulatedWorker.js'
import type { SimulatedRun } from '../../src/graphs/simulatedWorker.js'
import { TrueSpeeds, pickFactors } from '../../src/graphs/trueSpeeds.js'

function makeRun (workMs: number, endMs: number): SimulatedRun {
  return { task: 'j.0.0.0', run: 1, savedMs: 0, startedAt: 0, workingSince: 0, workMs, endMs, slowdown: 1, isCheckpointing: false }
}

function listRunAt (worker: SimulatedWorker, now: number): WorkerReport['running'][number] & { readonly msPerPercent?: number } {
  return worker.makeReport(now).running[0] as RunListing
}

test('a fast member of a gang lists the progress of its own worker, waits at 99 percent, and is not measured while it waits', t => {
  const worker = new SimulatedWorker('w0', 'r0', UNEVEN_FLEET.capacity, 0.5)
  worker.start(makeRun(5_000, 10_000))
  t.is(listRunAt(worker, 1_000).percent, 20)
  t.like(listRunAt(worker, 3_000), { percent: 60, msPerPercent: 50 })
  t.like(listRunAt(worker, 9_000), { percent: 99, msPerPercent: 50 })
})

test('jobs of the uneven fleet arrive at the rates of their classes, and their data lies in the racks of the fleet', t => {
  const { workers, workersPerRack, swing } = UNEVEN_FLEET
  const { arrivals } = makeGraphLoad({ seed: 1, workers, seconds: 2_000, load: 1, bursts: [], classes: UNEVEN_CLASSES, workersPerRack, swing })
  for (const [queue, perSecond] of [['urgent', 0.78], ['gang', 0.246], ['wide', 0.115]] as const) {
    const count = arrivals.filter(({ graph }) => graph.queue.name === queue).length
    t.true(Math.abs(count / 2_000 / perSecond - 1) < 0.15, `${queue}: ${count}`)
  }
  const racks = new Set(arrivals.map(({ graph }) => graph.steps[0]?.dataRack).filter(rack => rack !== undefined))
  t.is(racks.size, workers / workersPerRack)
})

test('factors are the same for the same seed, and only those that spread count as different', t => {
  t.deepEqual(pickFactors(60, [0.6, 1, 1.6], 1), pickFactors(60, [0.6, 1, 1.6], 1))
  t.true(new TrueSpeeds(pickFactors(60, [0.6, 1, 1.6], 1)).hasDifferences)
  t.true(new TrueSpeeds(pickFactors(60, [0.8, 1, 1.25], 1)).hasDifferences)
  t.false(new TrueSpeeds(pickFactors(60, [0.95, 1, 1.05], 1)).hasDifferences)
})
