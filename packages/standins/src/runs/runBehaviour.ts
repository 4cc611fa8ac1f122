/**
 * What tasks do at worker stand-ins, and who is told of it.
 */

/** How the tasks of a step behave. */
export interface RunBehaviour {
  readonly durationMs: number
  /** True when the run that begins now is to fail. */
  readonly isFailing: boolean
  /** Number of members that must be there together; undefined for tasks on their own. */
  readonly gangSize: number | undefined
  readonly isCheckpointing: boolean
  readonly needs: { readonly cpuMillis: number, readonly memoryMb: number, readonly accelerators: number }
}

/** Is told what truly happens at the workers, whatever the system believes. */
export interface RunWitness {
  onStart (worker: string, task: string, run: number, checkpoint: string): void
  /** A run is no more; `how` is undefined when its worker crashed. */
  onEnd (worker: string, task: string, run: number, how: string | undefined): void
  /** The worker was told that an end is stored, and its lease has not run out since that end. */
  onSeen (worker: string, task: string, run: number, how: string): void
}
