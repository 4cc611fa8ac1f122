/**
 * Computes from runs that have ended how long their tasks take on a worker of middle speed near the data.
 */
import type { RunState } from './jobState.js'
import { findRunConditions } from './runConditions.js'
import type { SpeedSource } from './speedSource.js'

/** Dependencies of {@link RunTimeMeter}. */
export interface RunTimeMeterDependencies {
  readonly speeds: SpeedSource
  /** Factor by which the run time of a task grows in another rack than that of its data or of the other tasks of its step. */
  readonly remoteFactor: number
  /** Returns the rack of a run's worker; undefined when that incarnation is unknown. */
  readonly getRack: (run: RunState) => string | undefined
}

const WHOLE_PERCENT = 100

export class RunTimeMeter {
  private readonly _dependencies: RunTimeMeterDependencies

  constructor (dependencies: RunTimeMeterDependencies) {
    this._dependencies = dependencies
  }

  /**
   * Returns the run times of the tasks of a run that was done, in milliseconds: of all members of a gang, or of the run alone. The members of a gang end
   * together with the slowest, so their own times come from their progress. Empty if the times are unknown or say nothing.
   */
  measure (run: RunState, now: number): number[] {
    if (run.wasCold) return []
    const { step } = run.task
    const runs = step.spec.isGang ? [run, ...step.tasks.flatMap(task => task.runs).filter(other => other !== run && other.number === run.number)] : [run]
    const slowness = runs.map(member => this._computeSlowness(member, now))
    const byProgress = runs.flatMap((member, index) => member.msPerPercent === undefined ? [] : member.msPerPercent * WHOLE_PERCENT / (slowness[index] ?? 1))
    if (step.spec.isGang && byProgress.length * 2 >= runs.length) return byProgress
    const isWhole = run.startCheckpoint === '' && !run.isAdopted && run.runningSince !== undefined
    if (!isWhole) return step.spec.isGang ? [] : byProgress
    return [(now - (run.runningSince ?? now)) / Math.max(...slowness)]
  }

  /** Returns how many times as long a run takes as on a worker of middle speed near its data. */
  private _computeSlowness (run: RunState, now: number): number {
    const { speeds, remoteFactor, getRack } = this._dependencies
    const conditions = findRunConditions(run, getRack)
    return (speeds.hasDifferences ? speeds.getFactor(run.worker.id, now) : 1) * (conditions?.isFar === true || conditions?.isSpread === true ? remoteFactor : 1)
  }
}
