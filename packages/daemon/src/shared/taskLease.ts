/**
 * The lease under which an agent runs tasks for the planner.
 */

/** Time in milliseconds for which a task keeps running after its planner's last renewal. */
export const TASK_LEASE_MS = 12_000
