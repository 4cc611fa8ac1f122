/**
 * Fragmentation: accelerators that are free but of no use to waiting or guaranteed shapes; against two baselines.
 */
import type { Bench } from '../bench.js'
import { cutDigits, runDeployments } from './completionBench.js'
import type { DriverResult } from './gangDriver.js'

const LOAD = 0.85

function reportFragmentation (result: DriverResult): object {
  return {
    unusableShare: cutDigits(result.unusableShare),
    unusableShareWithoutReclaim: cutDigits(result.unusableStrictShare),
    freeWhileFittingJobsWaitShare: cutDigits(result.freeWhileWaitingShare),
    usedShare: cutDigits(result.usedShare)
  }
}

export const fragmentationBench: Bench = {
  name: 'fragmentation',
  help: 'share of accelerators that are free but of no use to waiting or guaranteed shapes',
  run: async options => runDeployments(options, reportFragmentation, LOAD)
}
