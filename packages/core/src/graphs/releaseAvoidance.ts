/**
 * Keeps long work that writes no checkpoints away from the workers that a rolling release is about to replace, for as long as its job can wait and still end within its
 * objective. Answers releases during which a wide gang was stopped by one draining worker after the other.
 */
import { computeSlackMs } from './jobObjective.js'
import type { StepState } from './jobState.js'
import { OccurrenceTimes } from './occurrenceTimes.js'
import type { PlannerLog } from './plannerLog.js'
import { ReleaseTracker } from './releaseTracker.js'
import type { RunTimeEstimator } from './runTimeEstimator.js'
import type { WaitingStep } from './waitingStep.js'
import type { WorkerState } from './workerState.js'

/** Share of the remaining run time that a job must be able to spare, so that a job whose run time is underestimated does not become late by waiting. */
const MIN_SLACK_SHARE = 0.25
/** Maximum wait of a starved step for workers that stay, in milliseconds; the requirements allow a wait of 3 s while most of the fleet is free. */
const MAX_STARVED_WAIT_MS = 2_500

/** Dependencies of {@link ReleaseAvoidance}. */
export interface ReleaseAvoidanceDependencies {
  readonly runTimes: RunTimeEstimator
  /** Returns the time of day in milliseconds since 1970. */
  readonly getWallTime: () => number
  readonly log: PlannerLog
  /** True for a step whose job has waited without a run while most of the fleet is free. */
  readonly isStarved: (step: StepState) => boolean
}

export class ReleaseAvoidance {
  private readonly _dependencies: ReleaseAvoidanceDependencies
  private readonly _occurrenceTimes: OccurrenceTimes
  private readonly _tracker = new ReleaseTracker()
  /** Steps that keep away from workers which a release may replace, with the expected run time of a task in milliseconds. */
  private readonly _steps = new Map<StepState, number>()
  /** Steps whose wait has been logged. */
  private readonly _logged = new WeakSet<StepState>()

  constructor (dependencies: ReleaseAvoidanceDependencies) {
    this._dependencies = dependencies
    this._occurrenceTimes = new OccurrenceTimes(dependencies.runTimes)
  }

  beginPass (waiting: readonly WaitingStep[], workers: readonly WorkerState[], now: number): void {
    this._tracker.beginPass(workers, now)
    this._steps.clear()
    if (!this._tracker.isReleasing) return
    const wallTime = this._dependencies.getWallTime()
    for (const { step, since } of waiting) {
      if (step.spec.isCheckpointing || step.spec.isLongRunning) continue
      if (this._dependencies.isStarved(step) && now - since > MAX_STARVED_WAIT_MS) continue
      const { chainMs } = this._occurrenceTimes.getRemaining(step, now)
      const slackMs = computeSlackMs(step.job.graph, step.occurrence, chainMs, wallTime)
      if (slackMs > chainMs * MIN_SLACK_SHARE) this._steps.set(step, this._dependencies.runTimes.estimateRunTime(step))
    }
  }

  /** True if a step has to wait for another worker, because a release may replace this one before the step has ended. */
  isAvoided (worker: WorkerState, step: StepState): boolean {
    const runMs = this._steps.get(step)
    if (runMs === undefined || !this._tracker.isExposed(worker, runMs)) return false
    this._logOnce(step, worker, runMs)
    return true
  }

  private _logOnce (step: StepState, worker: WorkerState, runMs: number): void {
    if (this._logged.has(step)) return
    this._logged.add(step)
    const { service, version } = worker.report ?? {}
    this._dependencies.log.note('avoiding workers of a release', { step: step.name, service, version, runMs: Math.round(runMs) })
  }
}
