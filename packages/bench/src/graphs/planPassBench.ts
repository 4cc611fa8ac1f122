/**
 * Scheduler pass experiment: what a pass of the planner of job graphs costs as the fleet and its load grow, and what clients get.
 */
import type { Bench, BenchOptions } from '../bench.js'
import { fitExponent } from '../capacity/fitLine.js'
import { computeQuantile, roundDigits } from '../gangs/completionBench.js'
import { makeGraphLoad } from './graphWorkload.js'
import { JobResult } from './jobScore.js'
import { runFleet } from './simulatedFleet.js'

const SIZES = [40, 80, 160, 320, 640]
const QUICK_SIZES = [40, 80, 160]
const ARRIVAL_SECONDS = 30
const SECONDS = 45
/** Load relative to that for which the fleet is built; with the burst, more than the fleet can serve. */
const LOAD = 1.3
const BURST = { fromMs: 2_000, toMs: 8_000, factor: 2.2 }

function measureSize (workers: number, seed: number): { readonly workers: number, readonly passMsMedian: number, readonly [name: string]: number } {
  const load = makeGraphLoad({ seed, workers, seconds: ARRIVAL_SECONDS, load: LOAD, bursts: [BURST] })
  const { scores, passUs, reportUs, bytesPerPass, stops, occupancy } = runFleet({ workers, load, seconds: SECONDS })
  const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0)
  return {
    workers,
    jobs: scores.length,
    passesPerSecond: roundDigits(passUs.length / SECONDS),
    passMsMedian: roundDigits(computeQuantile(passUs, 0.5) / 1_000),
    passMsP99: roundDigits(computeQuantile(passUs, 0.99) / 1_000),
    passCpuShare: roundDigits(sum(passUs) / 1_000_000 / SECONDS),
    reportCpuShare: roundDigits(sum(reportUs) / 1_000_000 / SECONDS),
    kilobytesPerPass: roundDigits(bytesPerPass / 1_024),
    valueShare: roundDigits(sum(scores.map(score => score.earned)) / sum(scores.map(score => score.owed))),
    inTimeShare: roundDigits(scores.filter(score => score.result === JobResult.inTime).length / scores.length),
    stops,
    acceleratorOccupancy: roundDigits(occupancy.accelerators)
  }
}

async function runBench (options: BenchOptions): Promise<object> {
  const sizes = []
  for (const workers of options.isQuick ? QUICK_SIZES : SIZES) {
    options.printProgress(`${workers} workers`)
    sizes.push(measureSize(workers, options.seed))
  }
  return { load: LOAD, sizes, medianGrowthExponent: roundDigits(fitExponent(sizes.map(size => ({ x: size.workers, y: size.passMsMedian })))) }
}

export const planPassBench: Bench = {
  name: 'plan-pass',
  help: 'cost of a scheduler pass of the planner of job graphs from 40 to 640 workers, and what clients get',
  run: runBench
}
