/**
 * The state of one gang at its planner.
 */
import type { GangCommand, GangRecord, TaskStatus } from './gangMessages.js'
import type { JobSpec, Placement, StopGoal } from './jobTypes.js'

/** Where a gang stands at its planner. */
export type GangStage = 'queued' | 'reserving' | 'committing' | 'starting' | 'running' | 'checkpointing' | 'stopping' | 'recording' | 'recovering' | 'ended' | 'fenced'

/** A gang as its planner holds it; immutable. */
export interface Gang {
  readonly spec: JobSpec
  readonly epoch: number
  readonly stage: GangStage
  /** Last record known to be durable, with its revision in the store. */
  readonly record: GangRecord
  readonly revision: number
  /** Incarnation and place being worked on. */
  readonly incarnation: number
  readonly placement: Placement
  readonly coveredBy: readonly string[]
  /** Last report of each task. */
  readonly statuses: ReadonlyArray<TaskStatus | undefined>
  readonly goal: StopGoal | undefined
  /** Record under way to the store. */
  readonly pending: GangRecord | undefined
  /** True while the pending record is neither sent nor being read back. */
  readonly isWriteDue: boolean
  /** After this, no task of the incarnation can still hold a lease. */
  readonly leasesExpireAt: number
  /** When a stage that waits for others gives up. */
  readonly stageDeadlineAt: number
}

/** Times of the machine. */
export interface GangTimes {
  /** The agents' lease, as in their task tables. */
  readonly leaseMs: number
  /** Added to a lease for differences between clocks and for delivery. */
  readonly marginMs: number
  /** How long a checkpoint may take before the gang is stopped instead. */
  readonly checkpointMs: number
}

/** A new state with what it asks for. */
export interface GangStep {
  readonly gang: Gang
  readonly commands: readonly GangCommand[]
}
