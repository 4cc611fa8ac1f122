/**
 * Completion experiment: share of jobs that meet their finish target, waiting times of large gangs, and decision time of the planner, compared
 * with two baselines and an ideal bound.
 */
import type { Bench, BenchOptions } from '../bench.js'
import { GangDriver } from './gangDriver.js'
import type { GangDriverResult, GangScheduler, JobResult } from './gangDriver.js'
import { makeArrivals, makeCrispWorksDeployment, makeGuildDeployment, makeLargeFleetDeployment, makeWorkerEvents } from './gangWorkload.js'
import type { Deployment, JobArrival } from './gangWorkload.js'
import { makeClassPriorityScheduler, makeFirstFitScheduler, makePlannerScheduler } from './schedulers.js'

const DAYS = 3
const LOAD = 0.65
const MINUTE_MS = 60_000
const SCHEDULERS: Readonly<Record<string, () => GangScheduler>> = { planner: makePlannerScheduler, firstFitFifo: makeFirstFitScheduler, bestFitClassPriority: makeClassPriorityScheduler }

/** Simulates each deployment with each scheduler, on the same jobs and worker events. Returns one row of results per scheduler, built by `report`. */
export function runDeployments (options: BenchOptions, report: (result: GangDriverResult) => object, load = LOAD): object {
  const days = options.isQuick ? 1 : DAYS
  const result: Record<string, object> = {}
  for (const deployment of [makeCrispWorksDeployment(), makeGuildDeployment(), makeLargeFleetDeployment()]) {
    const arrivals = makeArrivals(deployment, options.seed, days, load)
    const workerEvents = makeWorkerEvents(deployment, options.seed, days)
    const rows: Record<string, object> = { ideal: checkTargetFeasibility(deployment, arrivals) }
    for (const [name, make] of Object.entries(SCHEDULERS)) {
      options.printProgress(`${deployment.name}: ${name}`)
      const driver = new GangDriver({ workers: deployment.workers, guarantees: deployment.guarantees, arrivals, workerEvents, scheduler: make() })
      const row = report(driver.run())
      options.printProgress(JSON.stringify(row))
      rows[name] = row
    }
    result[deployment.name] = rows
  }
  return { days, load, ...result }
}

/**
 * Checks two conditions without which no scheduler can meet all finish targets: each job's run time is within its target; and in no time span
 * do the jobs that both arrive and are due within it need more accelerator time than the fleet has.
 */
function checkTargetFeasibility (deployment: Deployment, arrivals: readonly JobArrival[]): object {
  const capacity = deployment.workers.reduce((sum, worker) => sum + worker.accelerators, 0)
  const completable = arrivals.filter(isCompletable)
  const byDue = [...completable].sort((a, b) => getDueAt(a) - getDueAt(b))
  let peak = 0
  for (const from of completable) {
    let work = 0
    for (const job of byDue) {
      if (job.at < from.at) continue
      work += job.runMs * job.spec.tasks * job.spec.shape.accelerators
      peak = Math.max(peak, work / (capacity * (getDueAt(job) - from.at)))
    }
  }
  const withinPathCount = completable.filter(job => job.runMs <= job.spec.finishWithinMs).length
  return { withinCriticalPath: withinPathCount / completable.length, peakWorkOverCapacity: roundDigits(peak), isAllReachable: withinPathCount === completable.length && peak <= 1 }
}

function getDueAt (arrival: JobArrival): number {
  return arrival.at + arrival.spec.finishWithinMs
}

function isCompletable (arrival: JobArrival): boolean {
  return !arrival.isImpossible && !arrival.isFaulty && arrival.cancelAt === undefined
}

function reportCompletion (result: GangDriverResult): object {
  const completable = result.results.filter(({ arrival }) => isCompletable(arrival))
  const incompletable = result.results.filter(({ arrival }) => (arrival.isImpossible || arrival.isFaulty) && arrival.cancelAt === undefined)
  const large = result.results.filter(item => item.drainMs !== undefined && isCompletable(item.arrival))
  const stretch = completable.map(item => (item.endAt - item.arrival.at) / item.arrival.runMs)
  return {
    withinTarget: roundDigits(completable.filter(isWithinTarget).length / completable.length),
    jobsCounted: completable.length,
    stretchP50: roundDigits(computeQuantile(stretch, 0.5)),
    stretchP99: roundDigits(computeQuantile(stretch, 0.99)),
    badJobsFailed: roundDigits(incompletable.filter(item => item.end === 'failed').length / Math.max(1, incompletable.length)),
    unfinished: completable.filter(item => item.end === 'unfinished').length,
    gangsOf64: large.length,
    gangsOf64Within2Drains: roundDigits(large.filter(isStartedWithinTwoDrains).length / Math.max(1, large.length)),
    reclaims: result.reclaims,
    lostWorkShare: roundDigits(result.lostShare),
    decisions: result.decisionUs.length,
    decisionMsP50: roundDigits(computeQuantile(result.decisionUs, 0.5) / 1_000),
    decisionMsP99: roundDigits(computeQuantile(result.decisionUs, 0.99) / 1_000)
  }
}

function isWithinTarget ({ arrival, end, endAt }: JobResult): boolean {
  return end === 'done' && endAt <= getDueAt(arrival)
}

function isStartedWithinTwoDrains ({ arrival, firstStartAt, drainMs }: JobResult): boolean {
  return firstStartAt !== undefined && firstStartAt - arrival.at <= 2 * (drainMs ?? 0) + MINUTE_MS
}

export function computeQuantile (values: readonly number[], quantile: number): number {
  const sorted = [...values].sort((a, b) => a - b)
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * quantile))] ?? 0
}

export function roundDigits (value: number): number {
  return Math.round(value * 10_000) / 10_000
}

export const completionBench: Bench = {
  name: 'completion',
  help: 'jobs that meet their finish target, waiting times of large gangs, decision time',
  run: async options => runDeployments(options, reportCompletion)
}
