/**
 * Replays bursts of urgent work and of many single tasks on a fleet of the guild's shape. No class of work may earn less than the share that the guild asks
 * for each class.
 */
import test from 'ava'

import { GUILD_CLASSES, makeGraphLoad } from '../../src/graphs/graphWorkload.js'
import { runFleet } from '../../src/graphs/simulatedFleet.js'
import { GUILD_CAPACITY } from '../../src/graphs/simulatedWorker.js'

/** Lowest share of the value owed to a class that the guild accepts on a day with faults. */
const CLASS_FLOOR = 0.25
const WORKERS = 74
const BURSTS = [{ fromMs: 8_500, toMs: 14_500, factor: 1.9 }, { fromMs: 10_700, toMs: 17_400, factor: 2.2, queue: 'skill-index' }]

/** Returns the share of the value owed that each class of work earns. */
function computeShares (seed: number, load: number): Map<string, number> {
  const graphLoad = makeGraphLoad({ seed, workers: WORKERS, seconds: 42, load, classes: GUILD_CLASSES, bursts: BURSTS })
  const { scores } = runFleet({ workers: WORKERS, load: graphLoad, seconds: 62, capacity: GUILD_CAPACITY })
  return new Map(GUILD_CLASSES.map(({ queue }) => {
    const ofQueue = scores.filter(score => score.queue === queue.name)
    const owed = ofQueue.reduce((sum, score) => sum + score.owed, 0)
    return [queue.name, ofQueue.reduce((sum, score) => sum + score.earned, 0) / owed]
  }))
}

for (const [seed, load] of [[31_689, 1], [203, 1.25], [212, 1.25]] as const) {
  test(`gangs are not starved by smaller work of lower priority, seed ${seed}, load ${load}`, t => {
    for (const [queue, share] of computeShares(seed, load)) t.true(share >= CLASS_FLOOR, `${queue} earned ${share} of the value owed to it`)
  })
}
