/**
 * State of one gang at its planner.
 */
import type { GangCommand, GangRecord, TaskStatus } from './gangMessages.js'
import type { JobSpec, Placement, StopGoal } from './jobTypes.js'

/** Stage of a gang at its planner. */
export type GangStage = 'queued' | 'reserving' | 'committing' | 'starting' | 'running' | 'checkpointing' | 'stopping' | 'recording' | 'recovering' | 'ended' | 'fenced'

/** Immutable state of a gang at its planner. */
export interface Gang {
  readonly spec: JobSpec
  readonly epoch: number
  readonly stage: GangStage
  /** Last record known to be stored; `revision` is its revision in the store. */
  readonly record: GangRecord
  readonly revision: number
  /** Number of the current incarnation, which may not be stored yet. */
  readonly incarnation: number
  readonly placement: Placement
  readonly coveredBy: readonly string[]
  /** Last reported status of each task, by task number; undefined before the first report. */
  readonly statuses: ReadonlyArray<TaskStatus | undefined>
  readonly goal: StopGoal | undefined
  /** Record that is being written and not yet known to be stored. */
  readonly pending: GangRecord | undefined
  /** True when the write of the pending record was not applied and must be retried. */
  readonly isWriteDue: boolean
  /** Time after which no task of the incarnation can still hold a lease. */
  readonly leasesExpireAt: number
  /** Deadline of a stage that waits for reports from agents. */
  readonly stageDeadlineAt: number
}

/** Durations used by the gang state machine. */
export interface GangTimes {
  /** Duration of a task's lease; must equal the lease duration of the agents' task tables. */
  readonly leaseMs: number
  /** Margin added to the lease duration for clock differences and delivery time. */
  readonly marginMs: number
  /** Maximum duration of a checkpoint, after which the gang is stopped instead. */
  readonly checkpointMs: number
}

/** New state of a gang, with the commands to carry out. */
export interface GangStep {
  readonly gang: Gang
  readonly commands: readonly GangCommand[]
}
