/**
 * How long a fleet takes for waiting work beside what runs already, in the scarcest resource and without any gap. Valid for the moment at which it was created.
 */
import type { TaskNeeds } from './graphTypes.js'
import type { StepState } from './jobState.js'
import type { WaitingStep } from './waitingStep.js'

/** Dependencies of {@link WorkBacklog}. */
export interface WorkBacklogOptions {
  /** Capacity of each worker. */
  readonly capacities: readonly TaskNeeds[]
  /** When runs end, in milliseconds from now, and what they free. */
  readonly ends: ReadonlyArray<{ readonly inMs: number, readonly spec: TaskNeeds }>
  /** Returns the run time of a task of a step, in milliseconds. */
  readonly estimateRunTime: (step: StepState) => number
}

const RESOURCES = ['accelerators', 'cpuMillis'] as const

export class WorkBacklog {
  private readonly _options: WorkBacklogOptions
  private readonly _ends: WorkBacklogOptions['ends']

  constructor (options: WorkBacklogOptions) {
    this._options = options
    this._ends = [...options.ends].sort((a, b) => a.inMs - b.inMs)
  }

  /** Returns the time until the waiting tasks of the given steps are done, in milliseconds; Infinity without capacity for them. */
  computeTime (steps: readonly WaitingStep[]): number {
    return Math.max(...RESOURCES.map(resource => this._computeResourceTime(steps, resource)))
  }

  private _computeResourceTime (steps: readonly WaitingStep[], resource: typeof RESOURCES[number]): number {
    let left = steps.reduce((sum, { step, tasks }) => sum + tasks.length * step.spec[resource] * this._options.estimateRunTime(step), 0)
    if (left === 0) return 0
    let free = this._options.capacities.reduce((sum, capacity) => sum + capacity[resource], 0)
    for (const { spec } of this._ends) free -= spec[resource]
    let at = 0
    for (const { inMs, spec } of this._ends) {
      const done = Math.max(0, free) * (inMs - at)
      if (inMs === Infinity || done >= left) break
      left -= done
      at = inMs
      free += spec[resource]
    }
    return free <= 0 ? Infinity : at + left / free
  }
}
