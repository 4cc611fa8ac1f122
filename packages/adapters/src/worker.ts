/**
 * Interface to the worker on an agent's host. The worker runs tasks under leases, can checkpoint, throttle and stop a task, and reports how long
 * each task has run; these reports lag behind.
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

/** Returns true if a task in this state occupies its resources. */
export function isHoldingResources (state: TaskState): boolean {
  return state === TaskState.prepared || state === TaskState.running
}

/** An order to reserve resources for a task and prepare it. */
export interface TaskOrder {
  /** Unique id of one run of a task, composed of the job id, the index of the task and the incarnation of its gang. */
  readonly taskId: string
  readonly jobId: string
  readonly incarnation: number
  readonly shape: TaskShape
  /** Opaque data that the worker passes to the task's program. */
  readonly payload: string
  /** Checkpoint to resume from; empty on the first run. */
  readonly checkpoint: string
  /** Duration of the task's lease, in milliseconds; the worker ends the task when the lease is not renewed within it. */
  readonly leaseMs: number
}

/** State of one task as reported by its worker. */
export interface TaskReport {
  readonly taskId: string
  readonly jobId: string
  readonly incarnation: number
  readonly state: TaskState
  /** How long the task has run, in milliseconds; the reported time lags behind the real one. */
  readonly ranMs: number
  /** Last checkpoint of the task; empty if there is none. */
  readonly checkpoint: string
  readonly message: string
}

/** Outcome of a call to the worker. `refused`: the worker rejected the call, and nothing changed. `lost`: it is unknown whether the call took effect. */
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
  /** Limits a task to a fraction of its full speed; `share` is above 0 and at most 1. */
  throttle (taskId: string, share: number): Promise<WorkerOutcome>
  /** Ends a task and frees its resources; also succeeds if the task has ended or is unknown. */
  stop (taskId: string): Promise<WorkerOutcome>
  /** Lists the tasks that the worker has a record of. */
  listTasks (): Promise<WorkerOutcome<{ readonly tasks: readonly TaskReport[] }>>
  close (): Promise<void>
}
