/**
 * Runs that may be stopped to make room for other work, with what a stop loses. A catalogue is valid during one scheduler pass until runs are
 * stopped or started; it computes each loss once, although many steps and sets of workers are tried.
 */
import { computeCoreSeconds } from './coreSeconds.js'
import { RunPhase } from './jobState.js'
import type { RunState, StepState } from './jobState.js'

/** Runs that stop together: a single run, or all runs of a gang that are not stopping already. */
export interface Victim {
  readonly runs: readonly RunState[]
  /** Core-seconds of work that are lost, plus the cost of the stop from `getStopCost`. */
  readonly loss: number
  readonly accelerators: number
}

/** Dependencies of {@link VictimCatalogue}. */
export interface VictimCatalogueDependencies {
  /** Returns the cost of stopping a run in core-seconds, without the work that the run loses; Infinity when the run must not be stopped. */
  readonly getStopCost: (run: RunState) => number
  /** Estimates how long a run has worked, in milliseconds. */
  readonly estimateWorkedMs: (run: RunState) => number
  /** Run time between two checkpoints, in milliseconds. */
  readonly checkpointMs: number
}

/** Time to resume from a checkpoint, as a share of the time between two checkpoints; workers take 100 to 250 ms of 2 s. */
const RESUME_SHARE = 0.125

export class VictimCatalogue {
  private readonly _dependencies: VictimCatalogueDependencies
  /** Known victims, by run, or by step for a gang; undefined for runs that must not be stopped. */
  private readonly _victims = new Map<RunState | StepState, Victim | undefined>()

  constructor (dependencies: VictimCatalogueDependencies) {
    this._dependencies = dependencies
  }

  /** Returns the runs that stop together with a run; undefined if one of them must not be stopped. */
  findVictim (run: RunState): Victim | undefined {
    const { step } = run.task
    const key = step.spec.isGang ? step : run
    if (!this._victims.has(key)) this._victims.set(key, this._makeVictim(step.spec.isGang ? listRunsToStop(step) : [run]))
    return this._victims.get(key)
  }

  private _makeVictim (runs: readonly RunState[]): Victim | undefined {
    const stopCost = Math.max(...runs.map(this._dependencies.getStopCost))
    if (stopCost === Infinity) return undefined
    return {
      runs,
      loss: runs.reduce((sum, member) => sum + this._computeLoss(member), stopCost),
      accelerators: runs.reduce((sum, member) => sum + member.task.step.spec.accelerators, 0)
    }
  }

  /** Returns the core-seconds of work that are lost when a run stops. */
  private _computeLoss (run: RunState): number {
    const { spec } = run.task.step
    const workedMs = this._dependencies.estimateWorkedMs(run)
    // A stop saves the work of a run that writes checkpoints. Only the time to resume is lost, well below the time between two checkpoints.
    const unsavedMs = spec.isCheckpointing ? Math.min(workedMs, this._dependencies.checkpointMs * RESUME_SHARE) : workedMs
    return computeCoreSeconds(spec, unsavedMs)
  }
}

function listRunsToStop (step: StepState): RunState[] {
  return step.tasks.flatMap(task => task.runs.filter(run => run.phase !== RunPhase.stopping))
}
