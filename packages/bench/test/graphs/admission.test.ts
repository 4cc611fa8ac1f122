/**
 * Replays competing callers on a small fleet with the admission decision. Guards against refusals of jobs that would have earned something: a forecast that takes a
 * waiting job's age for that of a new one, or the first observations of a run for its speed, refused such jobs. Even under far too much load no new job is hopeless, since the
 * planner places work that is late after it, so callers gain nothing by refusals and admission is off by default (docs/design/admission.md).
 */
import test from 'ava'

import { makeGraphLoad } from '../../src/graphs/graphWorkload.js'
import type { GraphLoad } from '../../src/graphs/graphWorkload.js'
import { SimulatedEntry } from '../../src/graphs/simulatedEntry.js'
import { runFleet } from '../../src/graphs/simulatedFleet.js'

const WORKERS = 10
const SEEDS = [1, 2]
const ARRIVAL_SECONDS = 30
const BURST = { fromMs: 2_000, toMs: 15_000, factor: 3, queue: 'delivery-recon' }

/** Makes a load in which the jobs of the burst belong to one organisation without a guarantee. */
function makeLoad (seed: number, load: number): GraphLoad {
  const made = makeGraphLoad({ seed, workers: WORKERS, seconds: ARRIVAL_SECONDS, load, bursts: [BURST] })
  const arrivals = made.arrivals.map(arrival => {
    const isBurst = arrival.graph.queue.name === BURST.queue && arrival.at >= BURST.fromMs && arrival.at < BURST.toMs
    return isBurst ? { ...arrival, graph: { ...arrival.graph, organisation: 'burst' } } : arrival
  })
  return { ...made, arrivals }
}

/** Returns the jobs that are refused at least once. */
function listRefused (seed: number, load: number): string[] {
  const graphLoad = makeLoad(seed, load)
  const entry = new SimulatedEntry(graphLoad.policy.guarantees, seed)
  runFleet({ workers: WORKERS, load: graphLoad, seconds: ARRIVAL_SECONDS, admit: (arrival, planner, now) => entry.admit(arrival, planner, now) })
  return [...entry.refused]
}

for (const load of [3, 6, 12]) {
  test(`at ${load} times the load that the fleet is built for, with a burst of one organisation, no job is refused`, t => {
    for (const seed of SEEDS) t.deepEqual(listRefused(seed, load), [])
  })
}
