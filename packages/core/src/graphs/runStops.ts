/**
 * Stops the runs that should not go on: those whose start was not confirmed in time, those that an evacuated failure domain or a draining worker can't
 * finish, and stalled ones.
 */
import type { EvacuatedDomains } from './evacuatedDomains.js'
import { RunPhase } from './jobState.js'
import type { RunState, StepState } from './jobState.js'
import type { PlannerTimes } from './plannerTimes.js'
import { estimateWorkedMs, measureStall } from './runProgress.js'
import type { RunTracker } from './runTracker.js'
import type { WorkerHealthTracker } from './workerHealthTracker.js'
import type { WorkerState } from './workerState.js'

/** Dependencies of {@link RunStops}. */
export interface RunStopsDependencies {
  readonly runTracker: RunTracker
  readonly workerHealth: WorkerHealthTracker
  readonly evacuations: EvacuatedDomains
  readonly times: PlannerTimes
  /** Predicts when a run ends, on the planner's clock; Infinity when that is unknown. */
  readonly predictEnd: (run: RunState) => number
  /** Estimates the run time of a run's task at the speed of its worker, in milliseconds. */
  readonly estimateRunTimeAt: (run: RunState) => number
}

/**
 * Factor by which the time limit for confirming a start is extended for a task outside a gang, as no other task waits for it. Agents that just
 * started need seconds of processor time before they answer.
 */
const SINGLE_CONFIRM_FACTOR = 2

export class RunStops {
  private readonly _dependencies: RunStopsDependencies
  /** Whether gangs make progress, by step, as far as the pass has asked. */
  private readonly _workingGangs = new Map<StepState, boolean>()
  private _now = 0

  constructor (dependencies: RunStopsDependencies) {
    this._dependencies = dependencies
  }

  /** Stops the runs of all workers that should not go on; `now` is on the planner's clock. */
  run (workers: readonly WorkerState[], now: number): void {
    this._now = now
    this._workingGangs.clear()
    for (const worker of workers) {
      this._stopUnconfirmedRuns(worker)
      this._stopStartsInEvacuatedDomain(worker)
      this._stopRunsOfDrainingWorker(worker)
      this._stopStalledRuns(worker)
    }
  }

  /**
   * Stops runs whose start was not confirmed in time. While a worker is silent, its agent may have started the run without being able to say
   * so, and the task can't start elsewhere before the worker's lease ends. So the run of a silent worker is kept, unless it belongs to a gang
   * whose other members wait for it.
   */
  private _stopUnconfirmedRuns (worker: WorkerState): void {
    // A worker that has not reported to this planner yet may still be executing the recorded runs.
    if (worker.firstReportAt === undefined) return
    for (const run of worker.runs) {
      if (run.phase !== RunPhase.assigned) continue
      const { isGang } = run.task.step.spec
      if (isGang && this._isGangWorking(run.task.step)) continue
      const limitMs = this._dependencies.times.startConfirmMs * (isGang ? 1 : SINGLE_CONFIRM_FACTOR)
      const heardUntil = isGang ? this._now : Math.min(this._now, worker.lastReportAt)
      if (heardUntil - Math.max(run.assignedAt, worker.firstReportAt) < limitMs) continue
      this._dependencies.runTracker.stopWithGang(run, 'the start was not confirmed in time', 'a member of the gang was not started in time', this._now)
    }
  }

  /**
   * Stops the runs that a worker of an evacuated failure domain has not confirmed as started, as no start may be sent there. The members of a gang that
   * makes progress have all started, so it goes on. A worker that has not listed its runs yet may still be executing the recorded ones.
   */
  private _stopStartsInEvacuatedDomain (worker: WorkerState): void {
    if (!this._dependencies.evacuations.hasWorker(worker) || worker.report?.listNumber === 0) return
    for (const run of worker.runs) {
      if (run.phase !== RunPhase.assigned || (run.task.step.spec.isGang && this._isGangWorking(run.task.step))) continue
      this._dependencies.runTracker.stopWithGang(run, 'its failure domain is evacuated', 'the failure domain of a member of the gang is evacuated', this._now)
    }
  }

  /** True if a member of a gang makes progress, which shows that all members are present, also those not confirmed yet. */
  private _isGangWorking (step: StepState): boolean {
    const known = this._workingGangs.get(step)
    if (known !== undefined) return known
    const isWorking = step.tasks.some(task => task.runs.some(member => member.percent > 0))
    this._workingGangs.set(step, isWorking)
    return isWorking
  }

  /** Stops the runs that can't end before their draining worker leaves. Tasks that write checkpoints save their work when they are stopped. */
  private _stopRunsOfDrainingWorker (worker: WorkerState): void {
    const { drainsUntil } = worker
    if (drainsUntil === undefined) return
    for (const run of worker.runs) {
      if (run.phase === RunPhase.stopping || this._dependencies.predictEnd(run) <= drainsUntil) continue
      this._dependencies.runTracker.stopWithGang(run, 'its worker is draining', 'a worker of the gang is draining', this._now)
    }
  }

  /**
   * Stops stalled runs, so that they restart elsewhere. Waiting may be cheaper than a restart, so a run is stopped only once it has
   * stalled for at least the time that the lost work would take to repeat. Meanwhile the worker gets no new runs. A worker that is slow after its start is
   * not taken for a stalled one.
   */
  private _stopStalledRuns (worker: WorkerState): void {
    if (worker.isCold(this._now)) return
    for (const run of worker.runs) {
      const stalledMs = measureStall(run, Math.min(this._now, worker.listedAt))
      if (stalledMs === undefined) continue
      this._dependencies.workerHealth.recordStall(run, this._now)
      const workedMs = estimateWorkedMs(run, run.percentChangedAt, this._dependencies.estimateRunTimeAt(run))
      const lostMs = run.task.step.spec.isCheckpointing ? Math.min(workedMs, this._dependencies.times.checkpointMs) : workedMs
      if (stalledMs < lostMs) continue
      this._dependencies.runTracker.stopWithGang(run, 'it has stalled', 'a member of the gang has stalled', this._now)
    }
  }
}
