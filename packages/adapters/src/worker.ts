/**
 * Interface to the worker on an agent's host: runs tasks under leases, reports their run time with a lag, and can checkpoint, throttle and
 * stop a task.
 */

/** Resources that a task requires of its worker. */
export interface TaskShape {
  readonly accelerators: number
  readonly cores: number
  readonly memoryGb: number
}

/** State of a task at its worker. `prepared`: the resources are reserved, and the task does not run yet. `expired`: its lease ran out. */
export const TaskState = {
  prepared: 'prepared',
  running: 'running',
  done: 'done',
  failed: 'failed',
  stopped: 'stopped',
  expired: 'expired'
} as const
export type TaskState = typeof TaskState[keyof typeof TaskState]

/** True when a task in this state holds its resources. */
export function isHoldingState (state: TaskState): boolean {
  return state === TaskState.prepared || state === TaskState.running
}

/** An order to reserve resources for a task and prepare it. */
export interface TaskOrder {
  /** Unique for each run of a task: made of the job, the task's index and the incarnation. */
  readonly taskId: string
  readonly jobId: string
  readonly incarnation: number
  readonly shape: TaskShape
  /** Opaque data that is passed to the program. */
  readonly payload: string
  /** Checkpoint to resume from; empty on the first run. */
  readonly checkpoint: string
  /** Duration of the task's lease, in milliseconds; the worker ends the task when the lease is not renewed within it. */
  readonly leaseMs: number
}

/** Report of a worker on one task. */
export interface TaskReport {
  readonly taskId: string
  readonly jobId: string
  readonly incarnation: number
  readonly state: TaskState
  /** Run time of the task, in milliseconds; reported with a lag. */
  readonly ranMs: number
  /** Last checkpoint; empty when there is none. */
  readonly checkpoint: string
  readonly message: string
}

/** Outcome of a call. `refused`: the worker rejected the call, and nothing changed. `lost`: it is unknown whether the call took effect. */
export type WorkerOutcome<T = object> =
  | ({ readonly kind: 'ok' } & T)
  | { readonly kind: 'refused', readonly message: string }
  | { readonly kind: 'lost', readonly message: string }

export interface Worker {
  /** Reserves resources and prepares a task; idempotent by task id. */
  prepare (order: TaskOrder): Promise<WorkerOutcome>
  /** Starts a prepared task; idempotent. */
  start (taskId: string): Promise<WorkerOutcome>
  /** Renews the lease of a task. */
  renew (taskId: string): Promise<WorkerOutcome>
  /** Writes a checkpoint while the task continues to run. */
  checkpoint (taskId: string): Promise<WorkerOutcome<{ readonly checkpoint: string }>>
  /** Limits a task to a share of its full speed, above 0 and at most 1. */
  throttle (taskId: string, share: number): Promise<WorkerOutcome>
  /** Ends a task and frees its resources; succeeds also when the task has ended or is unknown. */
  stop (taskId: string): Promise<WorkerOutcome>
  /** Lists the tasks that the worker has a record of. */
  list (): Promise<WorkerOutcome<{ readonly tasks: readonly TaskReport[] }>>
  close (): Promise<void>
}
