/**
 * Decides which gangs start, on which workers, and which running gangs are reclaimed for them. Jobs under a guarantee go first,
 * then jobs by finish target. A large gang that does not fit gets a reservation, which later jobs must not delay.
 */
import type { FailureAttribution } from './failureAttribution.js'
import { WorkerState } from './jobTypes.js'
import type { PlanAction, Planner, PlanSnapshot } from './jobTypes.js'
import { SchedulerPass } from './schedulerPass.js'
import type { Reservation } from './reservationSearch.js'
import type { RunTimeEstimator } from './runTimeEstimator.js'

/** Dependencies and limits of {@link GangPlanner}. */
export interface GangPlannerOptions {
  readonly runTimes: RunTimeEstimator
  readonly failureAttribution: FailureAttribution
  /** Maximum share of the fleet's accelerators that may be reserved at the same time; one reservation is always allowed. */
  readonly maxReservedShare?: number
  /** Minimum number of accelerators for which a gang gets a reservation. */
  readonly minReservedAccelerators?: number
  /** Maximum number of waiting jobs that one scheduler pass considers. */
  readonly maxJobsPerPass?: number
}

const MAX_RESERVED_SHARE = 0.3
const MIN_RESERVED_ACCELERATORS = 4
const MAX_JOBS_PER_PASS = 256

export class GangPlanner implements Planner {
  private readonly _options: Required<GangPlannerOptions>
  private readonly _reservations = new Map<string, Reservation>()

  constructor (options: GangPlannerOptions) {
    this._options = {
      maxReservedShare: MAX_RESERVED_SHARE,
      minReservedAccelerators: MIN_RESERVED_ACCELERATORS,
      maxJobsPerPass: MAX_JOBS_PER_PASS,
      ...options
    }
  }

  /** Returns the reservations in force after the last scheduler pass. */
  listReservations (): Reservation[] {
    return [...this._reservations.values()]
  }

  schedule (snapshot: PlanSnapshot, now: number): PlanAction[] {
    const { failureAttribution } = this._options
    const workers = snapshot.workers.map(worker => failureAttribution.isQuarantined(worker.id, now) ? { ...worker, state: WorkerState.quarantined } : worker)
    const quarantines = failureAttribution.takeStartedQuarantines().map(notice => ({ kind: 'quarantine', ...notice } as const))
    return [...quarantines, ...new SchedulerPass({ ...snapshot, workers }, now, this._options, this._reservations).run()]
  }
}
