/**
 * The part of the operators' declarations that the planner of job graphs needs.
 */
import type { QueuePolicy } from './graphTypes.js'

/** Capacity that is guaranteed to an organisation. */
export interface OrganisationGuarantee {
  readonly organisation: string
  /** Number of accelerators that are always available to the organisation's jobs of priority 0. */
  readonly accelerators: number
}

/** Queues and guarantees that operators declare. */
export interface PlannerPolicy {
  readonly queues: readonly QueuePolicy[]
  readonly guarantees: readonly OrganisationGuarantee[]
}
