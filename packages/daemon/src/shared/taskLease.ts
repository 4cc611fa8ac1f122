/**
 * The lease under which an agent runs tasks for the planner.
 */

/** Time that a task outlives the last renewal by its planner, in milliseconds. */
export const TASK_LEASE_MS = 12_000
