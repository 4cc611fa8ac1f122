/**
 * Timeouts and bounds of the planner.
 */

/** Timeouts and bounds of the planner, in milliseconds of the planner's clock unless stated otherwise. */
export interface PlannerTimes {
  /** How long an answer to a report allows a worker's runs to live, on the worker's clock. */
  readonly runLeaseMs: number
  /** Lowest rate of a worker's clock relative to true time. */
  readonly slowestClock: number
  /** Added to the lease of the runs, for message delivery and timer delays. */
  readonly runLeaseMarginMs: number
  /** How long a former planner may still have extended leases after it lost its leadership. */
  readonly formerLeaderMs: number
  /** A worker that has not reported for this long gets no new runs. */
  readonly reportTimeoutMs: number
  /** A run whose start is not confirmed within this time is stopped. */
  readonly startConfirmMs: number
  /** How long a stop may take at a worker. */
  readonly stopGraceMs: number
  /** Reclaim bound: guaranteed work of priority 0 must start within this time. */
  readonly reclaimMs: number
  /** Factor by which a task takes longer in another rack than its data or the rest of its step. */
  readonly remoteFactor: number
  /** Work between two checkpoints. */
  readonly checkpointMs: number
  /** How long an ended job stays in memory and in the store. */
  readonly retentionMs: number
}

/** Returns how long a worker's runs may live after an answer to its report, in milliseconds of the planner's clock. */
export function computeRunLeaseMs (times: PlannerTimes): number {
  return times.runLeaseMs / times.slowestClock + times.runLeaseMarginMs
}
