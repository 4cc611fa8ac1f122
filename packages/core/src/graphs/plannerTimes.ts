/**
 * Times and bounds that the planner keeps to.
 */

/** All in milliseconds of the planner's clock unless said otherwise. */
export interface PlannerTimes {
  /** How long an answer to a report lets a worker's runs live, on the worker's clock. */
  readonly authorityMs: number
  /** Slowest that a worker's clock may run against true time. */
  readonly slowestClock: number
  /** Added to an authority for delivery and timers. */
  readonly authorityMarginMs: number
  /** How much longer a former planner may have given authority after its duty was taken. */
  readonly formerPlannerMs: number
  /** Without a report for this long a worker gets no new starts. */
  readonly contactMs: number
  /** A start that is not confirmed after this long is taken back. */
  readonly startConfirmMs: number
  /** How long a stop may take at a worker. */
  readonly stopGraceMs: number
  /** Within this time guaranteed work of priority 0 must have begun. */
  readonly reclaimMs: number
  /** How much longer a task takes away from its data or from the rest of its step. */
  readonly remoteFactor: number
  /** Work between two checkpoints. */
  readonly checkpointMs: number
  /** How long an ended job stays in memory and in the store. */
  readonly retentionMs: number
}

/** Returns how long a worker's runs may live after an answer, on the planner's clock. */
export function computeRunLeaseMs (times: PlannerTimes): number {
  return times.authorityMs / times.slowestClock + times.authorityMarginMs
}
