/**
 * Replays bursts of urgent work beyond the capacity of a fleet and compares what clients get with the planner's order of waiting work and
 * with the order by the time to spare alone, in which the latest job comes first.
 */
import { ObjectiveOrder } from '@dragonflylever/core/graphs/index'
import type { RunTimeEstimator, WaitingOrder, WaitingStep } from '@dragonflylever/core/graphs/index'
import test from 'ava'

import { makeGraphLoad } from '../../src/graphs/graphWorkload.js'
import { runFleet } from '../../src/graphs/simulatedFleet.js'

const SEEDS = [101, 102, 103, 104]
const ARRIVAL_SECONDS = 30
const SECONDS = 60

/** Orders urgent steps by the time to spare until their objective, however late they are; all other steps as the planner does. */
class SpareTimeOrder implements WaitingOrder {
  private readonly _runTimes: RunTimeEstimator
  private readonly _others: ObjectiveOrder

  constructor (runTimes: RunTimeEstimator, getWallTime: () => number) {
    this._runTimes = runTimes
    this._others = new ObjectiveOrder({ runTimes, getWallTime })
  }

  sort (steps: readonly WaitingStep[], now: number): WaitingStep[] {
    const urgent = steps.filter(({ step }) => step.job.graph.queue.priority === 0)
    const others = steps.filter(({ step }) => step.job.graph.queue.priority > 0)
    return [...urgent.sort((a, b) => this._getLatestStart(a) - this._getLatestStart(b)), ...this._others.sort(others, now)]
  }

  private _getLatestStart ({ step }: WaitingStep): number {
    const { queue, acceptedAt } = step.job.graph
    return acceptedAt + (queue.stretch - 1) * this._runTimes.estimateRunTime(step) + queue.targetLatencyMs
  }
}

/** Returns the value that clients owe and get over all seeds, and the number of urgent jobs in time. */
function runLoad (workers: number, load: number, isBaseline: boolean): { readonly share: number, readonly urgentInTime: number } {
  let earned = 0
  let owed = 0
  let urgentInTime = 0
  for (const seed of SEEDS) {
    const graphLoad = makeGraphLoad({ seed, workers, seconds: ARRIVAL_SECONDS, load, bursts: [{ fromMs: 2_000, toMs: 8_000, factor: 2.2 }] })
    const baseline = { createOrder: (runTimes: RunTimeEstimator, getWallTime: () => number) => new SpareTimeOrder(runTimes, getWallTime) }
    for (const score of runFleet({ workers, load: graphLoad, seconds: SECONDS, ...(isBaseline ? baseline : {}) }).scores) {
      earned += score.earned
      owed += score.owed
      if (score.queue === 'allergen-check' && score.result === 'inTime') urgentInTime++
    }
  }
  return { share: earned / owed, urgentInTime }
}

test('in a burst of urgent work beyond the capacity of a small fleet, more urgent jobs end in time than if the latest came first', t => {
  const baseline = runLoad(14, 6, true)
  const chosen = runLoad(14, 6, false)
  t.true(chosen.urgentInTime > baseline.urgentInTime, `${chosen.urgentInTime} in place of ${baseline.urgentInTime}`)
  t.true(chosen.share > baseline.share, `${chosen.share} in place of ${baseline.share}`)
})

test('under a load that the fleet can just bear, the order of urgent work costs nothing', t => {
  t.true(runLoad(14, 1, false).share >= runLoad(14, 1, true).share)
})
