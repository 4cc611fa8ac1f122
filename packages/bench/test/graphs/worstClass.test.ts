/**
 * Replays bursts of urgent work and of many single tasks on a fleet of the guild's shape. No class of work may earn less than the share that the guild asks
 * for each class.
 */
import test from 'ava'

import { GUILD_CLASSES, makeGraphLoad } from '../../src/graphs/graphWorkload.js'
import type { Burst } from '../../src/graphs/graphWorkload.js'
import { runFleet } from '../../src/graphs/simulatedFleet.js'
import { GUILD_CAPACITY } from '../../src/graphs/simulatedWorker.js'

/** Lowest share of the value owed to a class that the guild accepts on a day with faults. */
const CLASS_FLOOR = 0.25
const WORKERS = 74
const FILL_BURSTS = [{ fromMs: 8_500, toMs: 14_500, factor: 1.9 }, { fromMs: 10_700, toMs: 17_400, factor: 2.2, queue: 'skill-index' }]
const URGENT_BURSTS = [{ fromMs: 500, toMs: 6_600, factor: 2.6 }, { fromMs: 2_700, toMs: 9_400, factor: 1.9, queue: 'skill-index' }]
/** A day with bursts of urgent work, on which all workers lose power while jobs keep arriving. */
const POWER_LOSS_DAY = { arrivalSeconds: 50, seconds: 69, bursts: URGENT_BURSTS, stopMs: 500, powerLossAtMs: 35_000 }
const FILL_DAY = { arrivalSeconds: 42, seconds: 62, bursts: FILL_BURSTS }

interface Day {
  readonly arrivalSeconds: number
  readonly seconds: number
  readonly bursts: readonly Burst[]
  readonly stopMs?: number
  readonly powerLossAtMs?: number
}

/** Returns the share of the value owed that each class of work earns. */
function computeShares ({ arrivalSeconds, bursts, ...day }: Day, seed: number, load: number): Map<string, number> {
  const graphLoad = makeGraphLoad({ seed, workers: WORKERS, seconds: arrivalSeconds, load, classes: GUILD_CLASSES, bursts })
  const { scores } = runFleet({ workers: WORKERS, load: graphLoad, capacity: GUILD_CAPACITY, ...day })
  return new Map(GUILD_CLASSES.map(({ queue }) => {
    const ofQueue = scores.filter(score => score.queue === queue.name)
    const owed = ofQueue.reduce((sum, score) => sum + score.owed, 0)
    return [queue.name, ofQueue.reduce((sum, score) => sum + score.earned, 0) / owed]
  }))
}

for (const [seed, load] of [[31_689, 1], [203, 1.25], [212, 1.25]] as const) {
  test(`gangs are not starved by smaller work of lower priority, seed ${seed}, load ${load}`, t => {
    for (const [queue, share] of computeShares(FILL_DAY, seed, load)) t.true(share >= CLASS_FLOOR, `${queue} earned ${share} of the value owed to it`)
  })
}

for (const seed of [416, 423]) {
  test(`gangs are not starved by urgent work beyond a guarantee when all workers have lost power, seed ${seed}`, t => {
    for (const [queue, share] of computeShares(POWER_LOSS_DAY, seed, 1.25)) t.true(share >= CLASS_FLOOR, `${queue} earned ${share} of the value owed to it`)
  })
}
