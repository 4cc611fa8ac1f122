/**
 * Behaviour of tasks on worker stand-ins, and the observer that is notified of their runs.
 */

/** Behaviour of the tasks of a step. */
export interface RunBehaviour {
  readonly durationMs: number
  /** True if the run that is being started will fail. */
  readonly isFailing: boolean
  /** True if the worker crashes right after a run of the task has started. */
  readonly isCrashing?: boolean
  /** Number of gang members that must run together; undefined for a task that is not in a gang. */
  readonly gangSize: number | undefined
  readonly isCheckpointing: boolean
  readonly needs: { readonly cpuMillis: number, readonly memoryMb: number, readonly accelerators: number }
}

/** Is notified of the starts and ends of runs at the workers, independently of the state that the system under test has recorded. */
export interface RunObserver {
  onStart (worker: string, task: string, run: number, checkpoint: string): void
  /** A run has ended. `how` tells how it ended, such as `done` or `failed`; it is undefined if the worker crashed. */
  onEnd (worker: string, task: string, run: number, how: string | undefined): void
  /** A run crashed its worker. */
  onCrash? (worker: string, task: string, run: number): void
  /** The planner acknowledged that it has stored the end of a run. Not called if the worker's lease has expired between the end and the acknowledgement. */
  onAcknowledged (worker: string, task: string, run: number, how: string): void
}
