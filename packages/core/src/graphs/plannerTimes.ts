/**
 * Timeouts and bounds of the planner.
 */

/** Timeouts and bounds of the planner, in milliseconds of the planner's clock unless stated otherwise. */
export interface PlannerTimes {
  /** Lease duration of a worker's runs: how long they may continue after an answer to a report, on the worker's clock. */
  readonly runLeaseMs: number
  /** Lowest rate of a worker's clock relative to true time. */
  readonly minClockRate: number
  /** Margin added to the lease duration of the runs, for message delivery and timer delays. */
  readonly runLeaseMarginMs: number
  /** How long a former planner may still have extended leases after it lost its leadership. */
  readonly formerLeaderMs: number
  /** A worker that has not reported for this long gets no new runs. */
  readonly reportTimeoutMs: number
  /** A run whose start is not confirmed within this time is stopped. */
  readonly startConfirmMs: number
  /** How long a worker may take to stop a run. */
  readonly stopGraceMs: number
  /** Maximum reclaim time: work of priority 0 that a guarantee covers must start within this time. */
  readonly reclaimMs: number
  /** Factor by which the run time of a task grows in another rack than that of its data or of the other tasks of its step. */
  readonly remoteFactor: number
  /** Run time between two checkpoints. */
  readonly checkpointMs: number
  /** How long an ended job stays in memory and in the store. */
  readonly retentionMs: number
}

/** Returns how long a worker's runs may live after an answer to its report, in milliseconds of the planner's clock. */
export function computeRunLeaseMs (times: PlannerTimes): number {
  return times.runLeaseMs / times.minClockRate + times.runLeaseMarginMs
}
