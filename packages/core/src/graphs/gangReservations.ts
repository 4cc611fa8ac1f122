/**
 * Reserves slots for waiting gangs that are not urgent. A gang needs slots for all its tasks at the same time. Without a reservation, each slot that
 * becomes free goes to a smaller step further back in the order, and a wide gang waits until the load ends. The first gangs in the order
 * get the slots that become free the soonest; urgent steps come before them and may take these slots.
 */
import type { CapacityForecast } from './capacityForecast.js'
import type { CapacitySnapshot, ReservedSlots } from './capacitySnapshot.js'
import type { StepState } from './jobState.js'
import type { WaitingStep } from './waitingStep.js'
import type { WorkerState } from './workerState.js'

/** Dependencies of {@link GangReservations}. */
export interface GangReservationsDependencies {
  readonly forecast: CapacityForecast
  /** True when a worker may run tasks of a step, regardless of its free capacity. */
  readonly isEligible: (worker: WorkerState, step: StepState) => boolean
}

interface GangReservation {
  readonly slots: ReservedSlots
  readonly reviewAt: number
}

/** Maximum number of gangs with a reservation; each costs several placements at each review. */
const MAX_RESERVATIONS = 20
/** Slots are reserved only if they are expected to become free within this time, in milliseconds. */
const HORIZON_MS = 20_000
/** Time after which the slots of a gang are chosen anew, in milliseconds, since predictions change. */
const REVIEW_MS = 250

export class GangReservations {
  private readonly _dependencies: GangReservationsDependencies
  private readonly _reservations = new Map<StepState, GangReservation>()
  private _reservedCount = 0
  private _now = 0

  constructor (dependencies: GangReservationsDependencies) {
    this._dependencies = dependencies
  }

  /** Begins a scheduler pass: drops the reservations that are due for a review or whose steps no longer wait. */
  beginPass (waiting: readonly WaitingStep[], now: number): void {
    this._now = now
    this._reservedCount = 0
    const steps = new Set(waiting.map(({ step }) => step))
    for (const [step, { reviewAt }] of this._reservations) if (!steps.has(step) || now >= reviewAt) this._reservations.delete(step)
  }

  /** Reserves slots for a gang that could not be placed, so that the steps after it in the order don't take them. */
  reserveFor (waiting: WaitingStep, snapshot: CapacitySnapshot): void {
    if (this._reservedCount >= MAX_RESERVATIONS) return
    const slots = this._getUsableSlots(waiting.step) ?? this._chooseSlots(waiting, snapshot)
    if (slots === undefined) return
    this._reservedCount++
    snapshot.reserve(waiting.step, slots)
  }

  /** Returns the slots reserved for a step in an earlier pass, if all their workers may still run it. */
  private _getUsableSlots (step: StepState): ReservedSlots | undefined {
    const slots = this._reservations.get(step)?.slots
    if (slots === undefined) return undefined
    return [...slots.keys()].every(worker => this._dependencies.isEligible(worker, step)) ? slots : undefined
  }

  private _chooseSlots (waiting: WaitingStep, snapshot: CapacitySnapshot): ReservedSlots | undefined {
    const slots = this._dependencies.forecast.findEarliestSlots(waiting, snapshot, this._now + HORIZON_MS)
    if (slots === undefined) this._reservations.delete(waiting.step)
    else this._reservations.set(waiting.step, { slots, reviewAt: this._now + REVIEW_MS })
    return slots
  }
}
