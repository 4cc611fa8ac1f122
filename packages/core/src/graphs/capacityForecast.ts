/**
 * Predicts where the tasks of a step will fit once runs have ended. A forecast is valid during one scheduler pass until runs are stopped.
 */
import type { CapacitySnapshot, ReservedSlots } from './capacitySnapshot.js'
import type { RunState, StepState } from './jobState.js'
import type { PlacedTask, Placement } from './placement.js'
import type { SpeedFit } from './speedFit.js'
import type { WaitingStep } from './waitingStep.js'
import type { WorkerState } from './workerState.js'

/** Dependencies of {@link CapacityForecast}. */
export interface CapacityForecastDependencies {
  readonly placement: Placement
  /** Predicts when a run ends, on the planner's clock; Infinity when that is unknown. */
  readonly predictEnd: (run: RunState) => number
  readonly speedFit: SpeedFit
}

/** Slots with the time by which they are expected to be free, on the planner's clock. */
export interface ExpectedSlots {
  readonly slots: ReservedSlots
  readonly startsAt: number
}

/** Maximum number of ends of runs that are tried in one search for slots; each costs a placement. */
const MAX_TRIED_ENDS = 12

export class CapacityForecast {
  private readonly _dependencies: CapacityForecastDependencies
  /** Predicted ends of runs, by run, or by step for a gang, whose members end together. */
  private readonly _ends = new Map<RunState | StepState, number>()

  constructor (dependencies: CapacityForecastDependencies) {
    this._dependencies = dependencies
  }

  /** Forgets all predictions, because a new pass begins or runs were stopped. */
  clear (): void {
    this._ends.clear()
  }

  /** Returns the slots for all waiting tasks of a step once the runs that end before `until` have ended; undefined when there are too few. */
  findSlots (waiting: WaitingStep, snapshot: CapacitySnapshot, until: number): ReservedSlots | undefined {
    const placed = this._placeAt(waiting, snapshot, until)
    return placed.length < waiting.tasks.length ? undefined : countByWorker(placed)
  }

  /**
   * Returns the slots at which all waiting tasks of a step meet their objective and that become free the soonest; undefined when there are none before
   * `until`. Later slots may be too late at slower workers, so the ends of runs are tried one by one.
   */
  findSlotsInTime (waiting: WaitingStep, snapshot: CapacitySnapshot, until: number): ReservedSlots | undefined {
    const { speedFit } = this._dependencies
    const ends = this._listEnds(snapshot, until)
    const stride = Math.max(1, Math.ceil(ends.length / MAX_TRIED_ENDS))
    for (let index = stride - 1; index < ends.length; index += stride) {
      const startsAt = (ends[index] ?? until) + 1
      const placed = this._placeAt(waiting, snapshot, startsAt)
      if (placed.length === waiting.tasks.length && speedFit.listLate(waiting.step, placed, startsAt).length === 0) return countByWorker(placed)
    }
    return undefined
  }

  /** Returns the slots that become free for all waiting tasks of a step the soonest; undefined when there are none before `until`. */
  findEarliestSlots (waiting: WaitingStep, snapshot: CapacitySnapshot, until: number): ExpectedSlots | undefined {
    const latest = this.findSlots(waiting, snapshot, until)
    if (latest === undefined) return undefined
    const ends = this._listEnds(snapshot, until)
    let best = { slots: latest, startsAt: until }
    for (let low = 0, high = ends.length; low < high;) {
      const middle = Math.floor((low + high) / 2)
      const startsAt = (ends[middle] ?? until) + 1
      const slots = this.findSlots(waiting, snapshot, startsAt)
      if (slots === undefined) low = middle + 1
      else {
        best = { slots, startsAt }
        high = middle
      }
    }
    return best
  }

  private _placeAt (waiting: WaitingStep, snapshot: CapacitySnapshot, at: number): PlacedTask[] {
    const future = snapshot.copy()
    for (const worker of snapshot.workers) {
      for (const run of worker.runs) if (this._predictEnd(run) < at) future.returnCapacity(worker, run.task.step.spec)
    }
    return this._dependencies.placement.place(waiting, future, at)
  }

  private _listEnds (snapshot: CapacitySnapshot, until: number): number[] {
    const ends = new Set<number>()
    for (const worker of snapshot.workers) for (const run of worker.runs) ends.add(this._predictEnd(run))
    return [...ends].filter(end => end < until).sort((a, b) => a - b)
  }

  private _predictEnd (run: RunState): number {
    const { step } = run.task
    const key = step.spec.isGang ? step : run
    const known = this._ends.get(key)
    if (known !== undefined) return known
    const end = this._dependencies.predictEnd(run)
    this._ends.set(key, end)
    return end
  }
}

function countByWorker (placed: readonly PlacedTask[]): ReservedSlots {
  const slots = new Map<WorkerState, number>()
  for (const { worker } of placed) slots.set(worker, (slots.get(worker) ?? 0) + 1)
  return slots
}
