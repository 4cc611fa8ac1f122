/**
 * Random fleets with runs in all phases and a waiting step, for tests that compare decisions with a plain reference.
 */
import { SeededRandom } from '@dragonflylever/core'
import { CapacitySnapshot } from '@dragonflylever/core/graphs/capacitySnapshot'
import { addFailedWorker, EqualSpeeds, RunPhase, RunTimeEstimator, WorkerState, addOccurrence, createJobState, createRun } from '@dragonflylever/core/graphs/index'
import type { JobGraph, RunState, StepSpec, SpeedSource, StepState, WaitingStep } from '@dragonflylever/core/graphs/index'
import { SpeedFit } from '@dragonflylever/core/graphs/speedFit'

import { CAPACITY, TIMES, makeQueue, makeStep } from './plannerHarness.js'

/** A fleet with the random properties that the planner would derive from its state. */
export interface RandomFleet {
  readonly workers: readonly WorkerState[]
  readonly snapshot: CapacitySnapshot
  readonly waiting: WaitingStep
  readonly isEligible: (worker: WorkerState) => boolean
  readonly getTaskLimit: (worker: WorkerState) => number
  readonly getStopCost: (run: RunState) => number
  readonly estimateWorkedMs: (run: RunState) => number
  readonly isStopOverdue: (run: RunState) => boolean
  readonly countFailures: (worker: WorkerState) => number
  readonly isUsableForLastAttempt: () => boolean
  readonly isCold: () => boolean
  readonly isKeptEmpty: () => boolean
  readonly chooseWorkersForSuspect: (workers: readonly WorkerState[]) => readonly WorkerState[]
  readonly isLocalityWaitOver: () => boolean
  readonly isWholeRackWaitOver: () => boolean
  readonly speedFit: SpeedFit
}

const NOW = 1_000
/** Index of the tasks of which a run that is to stop does not count as soon ended. */
const OVERDUE_INDEX = 2
const PHASES = [RunPhase.assigned, RunPhase.running, RunPhase.running, RunPhase.stopping] as const

class FleetBuilder {
  private readonly _random: SeededRandom
  private readonly _workers: WorkerState[]
  private _jobCount = 0

  constructor (seed: number, racks: number, workersPerRack: number) {
    this._random = new SeededRandom(seed)
    this._workers = Array.from({ length: racks * workersPerRack }, (_, index) => makeWorkerState(`w${index}`, `r${index % racks}`))
  }

  build (jobs: number, speeds: SpeedSource): RandomFleet {
    for (let index = 0; index < jobs; index++) this._addRunningStep()
    const step = this._makeStepState()
    for (const task of step.tasks) if (this._sample(0.2)) addFailedWorker(task, this._pick(this._workers).key.id)
    const eligible = new Set(this._workers.filter(() => this._sample(0.9)))
    const limits = new Map(this._workers.map(worker => [worker, this._sample(0.8) ? Infinity : this._random.pick(3)]))
    const failures = new Map(this._workers.map(worker => [worker, this._sample(0.8) ? 0 : this._random.pick(3)]))
    const stopCosts = new Map<RunState, number>()
    const workedMs = new Map<RunState, number>()
    for (const worker of this._workers) {
      for (const run of worker.runs) {
        stopCosts.set(run, this._pick([0, 0, 0, 1_600, Infinity]))
        workedMs.set(run, this._random.pick(20) * 500)
      }
    }
    const isOver = this._sample(0.3)
    const speedFit = new SpeedFit({ speeds, runTimes: new RunTimeEstimator(), getWallTime: () => 0, remoteFactor: TIMES.remoteFactor })
    speedFit.beginPass(this._workers, NOW)
    return {
      workers: this._workers,
      snapshot: new CapacitySnapshot(this._workers),
      waiting: { step, tasks: step.spec.isGang ? step.tasks : step.tasks.filter(() => this._sample(0.9)), since: NOW },
      isEligible: worker => eligible.has(worker),
      getTaskLimit: worker => limits.get(worker) ?? 0,
      getStopCost: run => stopCosts.get(run) ?? 0,
      estimateWorkedMs: run => workedMs.get(run) ?? 0,
      isStopOverdue: run => run.task.index === OVERDUE_INDEX,
      countFailures: worker => failures.get(worker) ?? 0,
      isUsableForLastAttempt: () => true,
      isCold: () => false,
      isKeptEmpty: () => false,
      chooseWorkersForSuspect: workers => workers,
      isLocalityWaitOver: () => isOver,
      isWholeRackWaitOver: () => isOver,
      speedFit
    }
  }

  /** Adds a step with runs at random workers that have room for them; without room for all members of a gang, none is added. */
  private _addRunningStep (): void {
    const step = this._makeStepState()
    const placed: RunState[] = []
    for (const task of step.tasks) {
      const snapshot = new CapacitySnapshot(this._workers)
      const workers = this._workers.filter(worker => snapshot.countFits(worker, step) > 0)
      if (workers.length === 0) break
      const worker = this._pick(workers)
      const run = createRun(task, 1, worker.key, 1, 0, undefined)
      worker.runs.add(run)
      task.runs.push(run)
      placed.push(run)
    }
    if (step.spec.isGang && placed.length < step.tasks.length) {
      for (const run of placed) for (const worker of this._workers) worker.runs.delete(run)
      for (const task of step.tasks) task.runs.splice(0)
    }
    for (const run of placed) run.phase = this._pick(PHASES)
  }

  private _makeStepState (): StepState {
    const isGang = this._sample(0.5)
    const spec: StepSpec = makeStep({
      count: 1 + this._random.pick(6),
      cpuMillis: this._pick([11_000, 15_000, 52_000]),
      memoryMb: this._pick([59_000, 150_000]),
      accelerators: this._pick([0, 1, 2, 4, 8]),
      isGang,
      isSameRack: isGang && this._sample(0.6),
      isCheckpointing: this._sample(0.4),
      ...(this._sample(0.3) ? { dataRack: `r${this._random.pick(3)}` } : {}),
      ...(this._sample(0.2) ? { maxPerWorker: 1 + this._random.pick(2) } : {})
    })
    const graph: JobGraph = { id: `j${this._jobCount++}`, organisation: 'o', queue: makeQueue(), payload: '', steps: [spec], acceptedAt: 0 }
    const job = createJobState(graph, 0)
    addOccurrence(job, 0)
    return job.occurrences.get(0)?.[0] as StepState
  }

  private _sample (probability: number): boolean {
    return this._random.sample() < probability
  }

  private _pick<T> (values: readonly T[]): T {
    return values[this._random.pick(values.length)] as T
  }
}

function makeWorkerState (id: string, rack: string): WorkerState {
  const worker = new WorkerState({ id, born: 1, address: `${id}:1` }, NOW)
  worker.update({
    key: { id, born: 1 },
    address: `${id}:1`,
    service: 's',
    rack,
    labels: [],
    failureDomain: 'd',
    region: 'r',
    capacity: CAPACITY,
    isDraining: false,
    drainLeftMs: undefined,
    isOver: false,
    isReachable: true,
    leaseLeftMs: 0,
    listNumber: 1,
    running: [],
    ended: [],
    orders: [],
    crashes: []
  }, NOW)
  return worker
}

/** Builds a random fleet; the same arguments give the same fleet. All its workers are equally fast unless `speeds` tells otherwise. */
export function makeRandomFleet (seed: number, racks: number, workersPerRack: number, jobs: number, speeds: SpeedSource = new EqualSpeeds()): RandomFleet {
  return new FleetBuilder(seed, racks, workersPerRack).build(jobs, speeds)
}
