/**
 * Reserves slots for waiting gangs that are not urgent. A gang needs slots for all its tasks at the same time. Without a reservation, each slot that
 * becomes free goes to a smaller step further back in the order, and a wide gang waits until the load ends. The first gangs in the order
 * get the slots that become free the soonest; urgent steps come before them and may take these slots, and so may one task of each starved job.
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
  /** When the slots are expected to be free, on the planner's clock. */
  readonly startsAt: number
  readonly reviewAt: number
}

/** Maximum number of gangs with a reservation; each costs several placements at each review. */
const MAX_RESERVATIONS = 20
/** Slots are reserved only if they are expected to become free within this time, in milliseconds. */
const HORIZON_MS = 20_000
/** Time after which the slots of a gang are chosen anew, in milliseconds, since predictions change. */
const REVIEW_MS = 250
/** Wait in milliseconds after which a gang that other work has overtaken gets a turn. */
const TURN_WAIT_MS = 10_000
/** A gang gets its turn only if its slots are expected to become free within this time, in milliseconds. */
const MAX_TURN_MS = 10_000
/** Maximum number of gangs that are tried for a turn in one pass. */
const MAX_TRIED_TURNS = 4

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
    const reservation = this._getUsable(waiting.step) ?? this._choose(waiting, snapshot)
    if (reservation === undefined) return
    this._reservedCount++
    snapshot.reserve(waiting.step, reservation.slots)
  }

  /**
   * Reserves slots, before other work of the pass is placed, for the first of the given gangs that has waited for long and will start soon. Returns its step; undefined if there is
   * none. Without a turn, a gang that is wider than half of its service would wait as long as small jobs keep arriving, which may all start before it.
   */
  reserveTurn (gangs: readonly WaitingStep[], snapshot: CapacitySnapshot): StepState | undefined {
    const due = gangs.filter(({ since }) => this._now - since >= TURN_WAIT_MS).slice(0, MAX_TRIED_TURNS)
    for (const waiting of due) {
      const reservation = this._getUsable(waiting.step) ?? this._choose(waiting, snapshot)
      if (reservation === undefined || reservation.startsAt - this._now > MAX_TURN_MS) continue
      this._reservedCount++
      snapshot.reserve(waiting.step, reservation.slots)
      return waiting.step
    }
    return undefined
  }

  /** Returns the reservation of a step from an earlier pass, if all its workers may still run it. */
  private _getUsable (step: StepState): GangReservation | undefined {
    const reservation = this._reservations.get(step)
    if (reservation === undefined) return undefined
    return [...reservation.slots.keys()].every(worker => this._dependencies.isEligible(worker, step)) ? reservation : undefined
  }

  private _choose (waiting: WaitingStep, snapshot: CapacitySnapshot): GangReservation | undefined {
    const earliest = this._dependencies.forecast.findEarliestSlots(waiting, snapshot, this._now + HORIZON_MS)
    const reservation = earliest === undefined ? undefined : { ...earliest, reviewAt: this._now + REVIEW_MS }
    if (reservation === undefined) this._reservations.delete(waiting.step)
    else this._reservations.set(waiting.step, reservation)
    return reservation
  }
}
