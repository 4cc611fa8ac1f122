/**
 * The worker beside an agent: runs tasks under leases, reports usage with a lag, can checkpoint, throttle or stop a task.
 */

/** What a task needs of its worker. */
export interface TaskShape {
  readonly accelerators: number
  readonly cores: number
  readonly memoryGb: number
}

/** Where a task stands at the worker. `prepared`: resources held, nothing runs yet. */
export const TaskState = {
  prepared: 'prepared',
  running: 'running',
  done: 'done',
  failed: 'failed',
  stopped: 'stopped',
  expired: 'expired'
} as const
export type TaskState = typeof TaskState[keyof typeof TaskState]

/** Returns whether a task in this state holds its resources. */
export function isHoldingState (state: TaskState): boolean {
  return state === TaskState.prepared || state === TaskState.running
}

/** An order to hold resources for a task and make it ready. */
export interface TaskOrder {
  /** Unique per run of a task: job, index and incarnation. */
  readonly taskId: string
  readonly jobId: string
  readonly incarnation: number
  readonly shape: TaskShape
  /** Opaque to the system; given to the program. */
  readonly payload: string
  /** Checkpoint to resume from; empty at the first run. */
  readonly checkpoint: string
  /** Time without renewal after which the worker ends the task, in milliseconds. */
  readonly leaseMs: number
}

/** One task as its worker reports it. */
export interface TaskReport {
  readonly taskId: string
  readonly jobId: string
  readonly incarnation: number
  readonly state: TaskState
  /** Time the task has run, in milliseconds; reported with a lag. */
  readonly ranMs: number
  /** Last checkpoint; empty when there is none. */
  readonly checkpoint: string
  readonly message: string
}

/** `refused`: the worker said no, and nothing changed. `lost`: nobody knows whether the order took effect. */
export type WorkerOutcome<T = object> =
  | ({ readonly kind: 'ok' } & T)
  | { readonly kind: 'refused', readonly message: string }
  | { readonly kind: 'lost', readonly message: string }

export interface Worker {
  /** Holds resources and makes a task ready; a repeat with the same task id changes nothing. */
  prepare (order: TaskOrder): Promise<WorkerOutcome>
  /** Starts a prepared task; a repeat changes nothing. */
  start (taskId: string): Promise<WorkerOutcome>
  /** Renews the lease of a task. */
  renew (taskId: string): Promise<WorkerOutcome>
  /** Writes a checkpoint while the task runs on. */
  checkpoint (taskId: string): Promise<WorkerOutcome<{ readonly checkpoint: string }>>
  /** Limits a task to a share of its speed, above 0 and at most 1. */
  throttle (taskId: string, share: number): Promise<WorkerOutcome>
  /** Ends a task and frees its resources; ending one that has ended, or was never there, is ok. */
  stop (taskId: string): Promise<WorkerOutcome>
  /** Lists the tasks that the worker remembers. */
  list (): Promise<WorkerOutcome<{ readonly tasks: readonly TaskReport[] }>>
  close (): Promise<void>
}
