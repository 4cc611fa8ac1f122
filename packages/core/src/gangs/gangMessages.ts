/**
 * Messages between the state machine of a gang, the store and the agents. Times are in milliseconds of the receiver's clock.
 */
import type { JobFailure, Placement, Resources } from './jobTypes.js'

/** Stored state of a job. Written by compare-and-swap; the nonce identifies a write whose answer was lost. */
export interface GangRecord {
  readonly jobId: string
  readonly phase: GangPhase
  /** Number of times that the gang was placed so far. Job, incarnation and task number identify a task incarnation. */
  readonly incarnation: number
  /** Worker of each task while the phase is `committed`, empty otherwise. */
  readonly placement: Placement
  readonly coveredBy: readonly string[]
  /** Epoch of the planner that wrote the record. */
  readonly epoch: number
  readonly nonce: string
}

export type GangPhase =
  | { readonly kind: 'queued' }
  | { readonly kind: 'committed' }
  | { readonly kind: 'done' }
  | { readonly kind: 'failed', readonly reason: JobFailure }
  | { readonly kind: 'cancelled' }

/** Identifies one task of one incarnation of a gang. */
export interface TaskIncarnation {
  readonly jobId: string
  readonly incarnation: number
  readonly task: number
}

/** Command to an agent; the agent refuses a command with an epoch below the highest that it has seen. */
export type AgentCommand =
  | { readonly kind: 'reserve', readonly epoch: number, readonly id: TaskIncarnation, readonly shape: Resources }
  | { readonly kind: 'prepare', readonly epoch: number, readonly id: TaskIncarnation }
  | { readonly kind: 'go', readonly epoch: number, readonly id: TaskIncarnation }
  | { readonly kind: 'checkpoint', readonly epoch: number, readonly id: TaskIncarnation }
  | { readonly kind: 'stop', readonly epoch: number, readonly id: TaskIncarnation }

/** Status of a task incarnation at its agent. */
export const TaskStatus = {
  reserved: 'reserved',
  ready: 'ready',
  running: 'running',
  finished: 'finished',
  failed: 'failed',
  checkpointed: 'checkpointed',
  gone: 'gone'
} as const
export type TaskStatus = typeof TaskStatus[keyof typeof TaskStatus]

/** Status of one task as reported by its agent: in an answer, unsolicited, or in an inventory. */
export interface TaskReport {
  readonly workerId: string
  readonly id: TaskIncarnation
  readonly status: TaskStatus
}

/** Result of a write to the store; `ambiguous` means that the write may or may not have been applied. */
export type WriteResult =
  | { readonly kind: 'ok', readonly revision: number }
  | { readonly kind: 'conflict' }
  | { readonly kind: 'unavailable' }
  | { readonly kind: 'ambiguous' }

/** Input to a gang's state machine. */
export type GangEvent =
  | { readonly kind: 'place', readonly placement: Placement, readonly coveredBy: readonly string[] }
  | { readonly kind: 'report', readonly report: TaskReport }
  | { readonly kind: 'workerLost', readonly workerId: string }
  | { readonly kind: 'written', readonly nonce: string, readonly result: WriteResult }
  | { readonly kind: 'readBack', readonly record: GangRecord, readonly revision: number }
  | { readonly kind: 'reclaim', readonly how: 'checkpoint' | 'stop' }
  | { readonly kind: 'fail', readonly reason: JobFailure }
  | { readonly kind: 'cancel' }
  | { readonly kind: 'tick' }

/** Action that a gang's state machine requests. */
export type GangCommand =
  | { readonly kind: 'send', readonly workerId: string, readonly command: AgentCommand }
  | { readonly kind: 'write', readonly record: GangRecord, readonly expectedRevision: number }
  | { readonly kind: 'read', readonly jobId: string }
  | { readonly kind: 'taskFailed', readonly jobId: string, readonly workerId: string }
  | { readonly kind: 'fenced', readonly jobId: string }
