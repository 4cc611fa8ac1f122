/**
 * In-memory fleet that carries out the decisions of the gang planner, for property tests.
 */
import { FailureAttribution, GangAdjacency, GangPlanner, RunTimeEstimator, WorkerState } from '@dragonflylever/core'
import type { Guarantee, JobSpec, PlanAction, RunningJob, WaitingJob, WorkerDescription } from '@dragonflylever/core'

export const CHECKPOINT_MS = 1_000

export function makeWorkers (count: number, perRack = 3, racksPerDomain = 2): WorkerDescription[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `w${index}`,
    rack: `r${Math.floor(index / perRack)}`,
    failureDomain: `d${Math.floor(index / perRack / racksPerDomain)}`,
    region: 'north',
    cores: 32,
    memoryGb: 128,
    accelerators: 8,
    state: WorkerState.ready
  }))
}

export function makeSpec (id: string, changes: Partial<JobSpec> = {}): JobSpec {
  return {
    id,
    idempotencyKey: id,
    className: 'recipe-run',
    organisation: 'guild',
    tasks: 1,
    shape: { accelerators: 1, cores: 4, memoryGb: 16 },
    adjacency: GangAdjacency.worker,
    declaredRunMs: 60_000,
    finishWithinMs: 600_000,
    isCheckpointable: true,
    ...changes
  }
}

export interface FleetFixture {
  now: number
  workers: WorkerDescription[]
  readonly guarantees: readonly Guarantee[]
  readonly waiting: Map<string, WaitingJob>
  readonly running: Map<string, RunningJob>
  readonly failed: Map<string, string>
  readonly planner: GangPlanner
  readonly failureAttribution: FailureAttribution
}

export function makeFleet (workers: WorkerDescription[], guarantees: readonly Guarantee[] = []): FleetFixture {
  const failureAttribution = new FailureAttribution()
  const planner = new GangPlanner({ runTimes: new RunTimeEstimator(), failureAttribution })
  return { now: 0, workers, guarantees, waiting: new Map(), running: new Map(), failed: new Map(), planner, failureAttribution }
}

export function submitJob (fleet: FleetFixture, spec: JobSpec): void {
  fleet.waiting.set(spec.id, { spec, submittedAt: fleet.now, doneMs: 0 })
}

/** Runs one scheduler pass and carries out its actions; reclaimed jobs keep their workers until {@link finishReclaims}. */
export function runPass (fleet: FleetFixture): PlanAction[] {
  const { workers, guarantees } = fleet
  const actions = fleet.planner.schedule({ workers, guarantees, waiting: [...fleet.waiting.values()], running: [...fleet.running.values()] }, fleet.now)
  for (const action of actions) applyAction(fleet, action)
  return actions
}

function applyAction (fleet: FleetFixture, action: PlanAction): void {
  if (action.kind === 'start') {
    const job = fleet.waiting.get(action.jobId)
    if (job === undefined) throw new Error(`invariant: ${action.jobId} started although it was not waiting`)
    fleet.waiting.delete(action.jobId)
    fleet.running.set(action.jobId, { ...job, placement: action.placement, coveredBy: action.coveredBy, startedAt: fleet.now, savedAt: fleet.now, checkpointMs: CHECKPOINT_MS, isStopping: false })
  }
  if (action.kind === 'reclaim') {
    const job = fleet.running.get(action.jobId)
    if (job !== undefined) fleet.running.set(action.jobId, { ...job, isStopping: true })
  }
  if (action.kind === 'fail') {
    fleet.waiting.delete(action.jobId)
    fleet.failed.set(action.jobId, action.reason)
  }
}

/** Releases the workers of all reclaimed jobs after a checkpoint and queues the jobs again. */
export function finishReclaims (fleet: FleetFixture): void {
  fleet.now += CHECKPOINT_MS
  for (const [id, job] of fleet.running) {
    if (!job.isStopping) continue
    fleet.running.delete(id)
    fleet.waiting.set(id, { spec: job.spec, submittedAt: job.submittedAt, doneMs: job.doneMs + fleet.now - job.startedAt })
  }
}

/** Returns the workers on which more accelerators, cores or memory are in use than the worker has. */
export function findOvercommitted (fleet: FleetFixture): string[] {
  return fleet.workers.filter(worker => {
    const held = { accelerators: 0, cores: 0, memoryGb: 0 }
    for (const job of fleet.running.values()) {
      for (const place of job.placement) {
        if (place !== worker.id) continue
        held.accelerators += job.spec.shape.accelerators
        held.cores += job.spec.shape.cores
        held.memoryGb += job.spec.shape.memoryGb
      }
    }
    return held.accelerators > worker.accelerators || held.cores > worker.cores || held.memoryGb > worker.memoryGb
  }).map(worker => worker.id)
}
