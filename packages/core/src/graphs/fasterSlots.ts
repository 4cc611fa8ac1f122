/**
 * Lets a step wait for slots at faster workers when the free slots are too slow for its objective. It waits only for slots that become free so soon that
 * the objective is met there, or that can be reclaimed for it; otherwise it starts on the slow ones, where it ends the earliest.
 */
import type { CapacityForecast } from './capacityForecast.js'
import type { CapacityReclaim } from './capacityReclaim.js'
import type { CapacitySnapshot, ReservedSlots } from './capacitySnapshot.js'
import type { JobState, StepState } from './jobState.js'
import type { SpeedFit } from './speedFit.js'
import type { WaitingStep } from './waitingStep.js'
import type { WorkerState } from './workerState.js'

/** Dependencies of {@link FasterSlots}. */
export interface FasterSlotsDependencies {
  readonly forecast: CapacityForecast
  readonly reclaim: CapacityReclaim
  readonly speedFit: SpeedFit
  readonly isEligible: (worker: WorkerState, step: StepState) => boolean
  readonly getPriority: (job: JobState) => number
}

interface ExpectedSlots {
  readonly slots: ReservedSlots
  readonly reviewAt: number
}

/** Maximum number of steps that wait for faster slots in one pass; each costs several placements at each review. */
const MAX_WAITING_STEPS = 20
/** Time after which the expected slots of a step are chosen anew, in milliseconds, since predictions change. */
const REVIEW_MS = 250

export class FasterSlots {
  private readonly _dependencies: FasterSlotsDependencies
  private readonly _expected = new Map<StepState, ExpectedSlots>()
  private _waitingCount = 0
  private _now = 0

  constructor (dependencies: FasterSlotsDependencies) {
    this._dependencies = dependencies
  }

  /** Begins a scheduler pass: drops the expected slots of steps that no longer wait or are due for a review. */
  beginPass (waiting: readonly WaitingStep[], now: number): void {
    this._now = now
    this._waitingCount = 0
    if (this._expected.size === 0) return
    const steps = new Set(waiting.map(({ step }) => step))
    for (const [step, { reviewAt }] of this._expected) if (!steps.has(step) || now >= reviewAt) this._expected.delete(step)
  }

  /** Reserves slots at which the waiting tasks meet their objective. Returns false when there are none, so that the tasks should start where they can. */
  reserveFor (waiting: WaitingStep, snapshot: CapacitySnapshot): boolean {
    const { step } = waiting
    if (this._waitingCount >= MAX_WAITING_STEPS || !this._dependencies.speedFit.hasObjectiveInReach(step)) return false
    const isReserved = this._dependencies.reclaim.reserveAgain(step, snapshot) || this._reserveExpected(waiting, snapshot) || this._reclaim(waiting, snapshot)
    if (isReserved) this._waitingCount++
    return isReserved
  }

  private _reserveExpected (waiting: WaitingStep, snapshot: CapacitySnapshot): boolean {
    const { step } = waiting
    const slots = this._getUsableSlots(step) ?? this._chooseSlots(waiting, snapshot)
    if (slots !== undefined) snapshot.reserve(step, slots)
    return slots !== undefined
  }

  /** Returns the slots expected for a step in an earlier pass, if all their workers may still run it in time. */
  private _getUsableSlots (step: StepState): ReservedSlots | undefined {
    const slots = this._expected.get(step)?.slots
    if (slots === undefined) return undefined
    const { isEligible, speedFit } = this._dependencies
    return [...slots.keys()].every(worker => isEligible(worker, step) && speedFit.isFit(worker, step)) ? slots : undefined
  }

  private _chooseSlots (waiting: WaitingStep, snapshot: CapacitySnapshot): ReservedSlots | undefined {
    const { forecast, speedFit } = this._dependencies
    const slots = forecast.findSlotsInTime(waiting, snapshot, speedFit.getLatestStart(waiting.step))
    if (slots !== undefined) this._expected.set(waiting.step, { slots, reviewAt: this._now + REVIEW_MS })
    return slots
  }

  private _reclaim (waiting: WaitingStep, snapshot: CapacitySnapshot): boolean {
    return this._dependencies.getPriority(waiting.step.job) === 0 && this._dependencies.reclaim.reclaimFasterFor(waiting, snapshot)
  }
}
