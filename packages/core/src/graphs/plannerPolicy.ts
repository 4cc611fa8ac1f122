/**
 * What operators declare, as the planner of job graphs needs it.
 */
import type { QueuePolicy } from './graphTypes.js'

/** What is guaranteed to an organisation. */
export interface OrganisationGuarantee {
  readonly organisation: string
  /** Accelerators for its jobs of priority 0, at all times. */
  readonly accelerators: number
}

/** What operators declare, as far as the planner needs it. */
export interface PlannerPolicy {
  readonly queues: readonly QueuePolicy[]
  readonly guarantees: readonly OrganisationGuarantee[]
}
