/**
 * What a scheduler pass and a report cost as one dimension of the load grows: the steps or tasks of a job, the jobs, or the runs of a worker.
 */
import { GraphPlanner } from '@dragonflylever/core/graphs/index'
import type { JobGraph, RunListing, StepSpec, WorkerReport } from '@dragonflylever/core/graphs/index'

import type { Bench, BenchOptions } from '../bench.js'
import { fitExponent } from '../capacity/fitLine.js'
import { computeQuantile, roundDigits } from '../gangs/completionBench.js'
import { TIMES } from './simulatedFleet.js'

const SIZES = [500, 1_000, 2_000, 4_000, 8_000]
const QUICK_SIZES = [500, 1_000, 2_000]
const WORKERS = 8
const PASSES = 12
const PASS_MS = 100
const WALL_START_MS = 1_700_000_000_000
const STEP: StepSpec = { count: 1, cpuMillis: 1, memoryMb: 0, accelerators: 0, estimatedMs: 60_000, after: [], isCheckpointing: false, isGang: false, isSameRack: false, isSpeculative: false, isLongRunning: false, isFilling: false, mayMiss: 0 }

/** A shape of load; `size` is its one dimension that grows. */
interface LoadShape {
  readonly name: string
  readonly makeJobs: (size: number) => StepSpec[][]
}

const SHAPES: readonly LoadShape[] = [
  { name: 'steps of a job that can never start', makeJobs: size => [Array.from({ length: size }, () => ({ ...STEP, requiredLabel: 'none' }))] },
  { name: 'different steps of a job that can never start', makeJobs: size => [Array.from({ length: size }, (_, index) => ({ ...STEP, cpuMillis: size - index, requiredLabel: 'none' }))] },
  { name: 'steps of a chain whose first one can never start', makeJobs: size => [Array.from({ length: size }, (_, index) => index === 0 ? { ...STEP, requiredLabel: 'none' } : { ...STEP, after: [index - 1] })] },
  { name: 'steps of a job that wait for room', makeJobs: size => [Array.from({ length: size }, () => ({ ...STEP, cpuMillis: 32_000 }))] },
  { name: 'jobs that wait for room', makeJobs: size => Array.from({ length: size }, () => [{ ...STEP, cpuMillis: 32_000 }]) },
  { name: 'tasks of one step that run', makeJobs: size => [[{ ...STEP, count: size }]] },
  { name: 'members of a gang', makeJobs: size => [[{ ...STEP, count: size, isGang: true }]] }
]

/** Workers that carry out each order at once. */
class SlopeFleet {
  readonly planner = new GraphPlanner({ times: TIMES, getWallTime: () => WALL_START_MS + this._now, log: { note: () => {} } })
  private readonly _running = Array.from({ length: WORKERS }, (): RunListing[] => [])
  private _now = 1_000
  private _listNumber = 0

  addJobs (jobs: ReadonlyArray<readonly StepSpec[]>): void {
    const queue = { name: 'q', service: 's', priority: 2, maxAttempts: 3, stretch: 3, targetLatencyMs: 1_000 }
    for (const [index, steps] of jobs.entries()) {
      const graph: JobGraph = { id: index.toString(16).padStart(16, '0'), organisation: 'o', queue, payload: '', steps, acceptedAt: WALL_START_MS }
      this.planner.addJob(graph, undefined, this._now)
    }
  }

  /** Reports all workers, runs a pass and carries its orders out. Returns the times of the reports and of the pass, in milliseconds. */
  runTurn (): { readonly reportMs: number, readonly passMs: number } {
    this._now += PASS_MS
    const reportedAt = performance.now()
    for (let index = 0; index < WORKERS; index++) this.planner.acceptReport(this._makeReport(index), this._now)
    const plannedAt = performance.now()
    this.planner.plan(this._now)
    const endedAt = performance.now()
    this.planner.recordLeadershipConfirmed(this._now)
    for (const { jobId, version } of this.planner.listChangedJobs()) this.planner.recordJobStored(jobId, version)
    for (const [index, running] of this._running.entries()) {
      const starts = this.planner.answerReport({ id: `w${index}`, born: 1 }, this._now, true)?.starts ?? []
      for (const { task, run, checkpoint } of starts) running.push({ task, run, checkpoint, percent: 0, usage: 0 })
    }
    return { reportMs: plannedAt - reportedAt, passMs: endedAt - plannedAt }
  }

  private _makeReport (index: number): WorkerReport {
    const capacity = { cpuMillis: 32_000, memoryMb: 131_072, accelerators: 8 }
    return { key: { id: `w${index}`, born: 1 }, address: `w${index}:1`, service: 's', rack: 'r', labels: ['a', 'r'], failureDomain: 'd', region: 'r', capacity, isDraining: false, drainLeftMs: undefined, isOver: false, isReachable: true, leaseLeftMs: 0, listNumber: ++this._listNumber, running: [...this._running[index] ?? []], ended: [], orders: [], crashes: [] }
  }
}

function measureShape ({ name, makeJobs }: LoadShape, sizes: readonly number[]): object {
  const rows = sizes.map(size => {
    const fleet = new SlopeFleet()
    fleet.addJobs(makeJobs(size))
    const turns = Array.from({ length: PASSES }, () => fleet.runTurn())
    const passes = turns.map(({ passMs }) => passMs)
    const reports = turns.map(({ reportMs }) => reportMs)
    return { size, passMsMedian: roundDigits(computeQuantile(passes, 0.5)), passMsMax: roundDigits(Math.max(...passes)), reportsMsMax: roundDigits(Math.max(...reports)) }
  })
  const exponent = fitExponent(rows.map(({ size, passMsMedian }) => ({ x: size, y: passMsMedian })))
  return { name, rows, medianGrowthExponent: roundDigits(exponent) }
}

async function runBench (options: BenchOptions): Promise<object> {
  const shapes = []
  for (const shape of SHAPES) {
    options.printProgress(shape.name)
    shapes.push(measureShape(shape, options.isQuick ? QUICK_SIZES : SIZES))
  }
  return { workers: WORKERS, shapes }
}

export const passSlopesBench: Bench = {
  name: 'pass-slopes',
  help: 'cost of a scheduler pass and of the reports before it as the steps or tasks of a job, the jobs or the runs grow, each by itself',
  run: runBench
}
