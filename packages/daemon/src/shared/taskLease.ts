/**
 * Duration of the lease under which an agent runs a task for the planner.
 */

/** How long a task keeps running after the planner's last renewal of its lease, in milliseconds. */
export const TASK_LEASE_MS = 12_000
