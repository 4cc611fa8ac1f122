/**
 * Fragmentation experiment: share of accelerators that are free but usable by no waiting job or guaranteed shape, compared with two
 * baselines.
 */
import type { Bench } from '../bench.js'
import { roundDigits, runDeployments } from './completionBench.js'
import type { GangDriverResult } from './gangDriver.js'

const LOAD = 0.85

function reportFragmentation (result: GangDriverResult): object {
  return {
    unusableShare: roundDigits(result.unusableShare),
    unusableShareWithoutReclaim: roundDigits(result.unusableStrictShare),
    freeWhileFittingJobsWaitShare: roundDigits(result.freeWhileWaitingShare),
    usedShare: roundDigits(result.usedShare)
  }
}

export const fragmentationBench: Bench = {
  name: 'fragmentation',
  help: 'share of accelerators that are free but not usable by waiting jobs or guaranteed shapes',
  run: async options => runDeployments(options, reportFragmentation, LOAD)
}
