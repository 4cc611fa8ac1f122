/**
 * The planner and the baselines with which it is compared, as implementations of {@link GangScheduler}.
 */
import { FailureAttribution, findPlacement, FleetModel, GangAdjacency, GangPlanner, JobFailure, RunTimeEstimator } from '@dragonflylever/core'
import type { JobSpec, PlanAction, PlanSnapshot } from '@dragonflylever/core'

import type { GangScheduler } from './gangDriver.js'

/** Number of task failures after which a baseline fails the job. */
const MAX_FAILURES = 3

/** Creates a scheduler that runs the planner with its run time estimator and failure attribution. */
export function makePlannerScheduler (): GangScheduler {
  const runTimes = new RunTimeEstimator()
  const failureAttribution = new FailureAttribution()
  const planner = new GangPlanner({ runTimes, failureAttribution })
  return {
    schedule: (snapshot, now) => planner.schedule(snapshot, now),
    recordFinished: (spec, runMs, placement) => {
      runTimes.learnRunTime(spec, runMs)
      failureAttribution.recordSuccess(spec.id, placement)
    },
    recordFailed: (spec, workerId, now) => { failureAttribution.recordFailure(spec.id, workerId, now) }
  }
}

/** Creates a first-fit FIFO baseline: starts jobs in order of submission, each on the first workers that have room. Jobs that do not fit are passed over. */
export function makeFirstFitScheduler (): GangScheduler {
  return makeBaselineScheduler(() => 0, findFirstFit)
}

/** Creates a best-fit baseline that starts the jobs with the shortest finish target first. */
export function makeClassPriorityScheduler (): GangScheduler {
  return makeBaselineScheduler(spec => spec.finishWithinMs, (fleet, spec) => findPlacement(fleet, { ...spec, capacity: fleet.free }))
}

function makeBaselineScheduler (rank: (spec: JobSpec) => number, find: (fleet: FleetModel, spec: JobSpec) => number[] | undefined): GangScheduler {
  const failures = new Map<string, number>()
  return {
    schedule: snapshot => [
      ...snapshot.waiting.filter(({ spec }) => (failures.get(spec.id) ?? 0) >= MAX_FAILURES).map(({ spec }) => makeFailAction(spec.id)),
      ...startFittingJobs({ ...snapshot, waiting: snapshot.waiting.filter(({ spec }) => (failures.get(spec.id) ?? 0) < MAX_FAILURES) }, rank, find)
    ],
    recordFailed: spec => { failures.set(spec.id, (failures.get(spec.id) ?? 0) + 1) }
  }
}

function makeFailAction (jobId: string): PlanAction {
  return { kind: 'fail', jobId, reason: JobFailure.failsEverywhere, message: 'its tasks failed too often' }
}

function startFittingJobs (snapshot: PlanSnapshot, rank: (spec: JobSpec) => number, find: (fleet: FleetModel, spec: JobSpec) => number[] | undefined): PlanAction[] {
  const fleet = new FleetModel(snapshot.workers)
  for (const job of snapshot.running) fleet.takeResources(fleet.listWorkerIndexes(job.placement), job.spec.shape)
  const waiting = [...snapshot.waiting].sort((a, b) => rank(a.spec) - rank(b.spec) || a.submittedAt - b.submittedAt)
  const actions: PlanAction[] = []
  for (const { spec } of waiting) {
    const places = find(fleet, spec)
    if (places === undefined) continue
    fleet.takeResources(places, spec.shape)
    actions.push({ kind: 'start', jobId: spec.id, placement: places.map(worker => fleet.workers[worker]?.id ?? ''), coveredBy: [] })
  }
  return actions
}

function findFirstFit (fleet: FleetModel, spec: JobSpec): number[] | undefined {
  const groups = spec.adjacency === GangAdjacency.rack
    ? fleet.racks
    : spec.adjacency === GangAdjacency.failureDomain ? fleet.failureDomains : fleet.workers.map((worker, index) => ({ id: worker.id, workers: [index] }))
  for (const group of groups) {
    const places: number[] = []
    for (const worker of group.workers) {
      const count = Math.min(spec.tasks - places.length, fleet.free.countFits(worker, spec.shape))
      for (let task = 0; task < count; task++) places.push(worker)
    }
    if (places.length === spec.tasks) return places
  }
  return undefined
}
