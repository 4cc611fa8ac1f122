/**
 * Jobs as graphs of steps, each of a number of tasks. Times are in milliseconds; `At` fields of a job are wall time since 1970.
 */

/** What one task takes of its worker. */
export interface TaskNeeds {
  /** Thousandths of a core. */
  readonly cpuMillis: number
  readonly memoryMb: number
  readonly accelerators: number
}

/** One step of a job: tasks that are alike. */
export interface StepSpec extends TaskNeeds {
  readonly count: number
  /** What the consumer thinks that a task takes; may be far off. */
  readonly estimatedMs: number
  /** Numbers of the earlier steps whose tasks must all be done first. */
  readonly after: readonly number[]
  readonly isCheckpointing: boolean
  /** The tasks work only together and end together. */
  readonly isGang: boolean
  /** The tasks are slow unless all of them run in one rack. */
  readonly isSameRack: boolean
  /** Label that the worker must have. */
  readonly requiredLabel?: string
  /** Rack near the data; elsewhere the tasks are slow. */
  readonly dataRack?: string
  /** Most tasks of the step on one worker. */
  readonly maxPerWorker?: number
  /** Copies of a task may run side by side; the first to finish counts. */
  readonly isSpeculative: boolean
  /** The tasks run until the job is cancelled. */
  readonly isLongRunning: boolean
  /** Names what the tasks run; tasks of one image behave alike. */
  readonly image?: string
  /** Bound for the tail latency of tasks that serve users. */
  readonly latencyTargetMs?: number
  /** The tasks use what others leave; their processors don't count against the worker's capacity. */
  readonly isFilling: boolean
  /** How many tasks of a long-running step may be away at once through the system's own doing. */
  readonly mayMiss: number
}

/** How the service that advises on workers behaves. */
export interface AdviceTimes {
  readonly decisionMs: number
  readonly perWorkerMs: number
  /** How long a ticket is valid. */
  readonly validityMs: number
}

/** A queue as operators declare it. */
export interface QueuePolicy {
  readonly name: string
  /** Service whose workers run the queue's tasks. */
  readonly service: string
  /** 0 comes first and may take capacity back. */
  readonly priority: number
  /** Failed runs after which a task's job has failed. */
  readonly maxAttempts: number
  /** Factor of the objective over the job's longest chain of work. */
  readonly stretch: number
  /** Added to the objective. */
  readonly targetLatencyMs: number
  /** Present when only a service knows which workers may run a step. */
  readonly advice?: AdviceTimes
}

/** When a job's steps run more than once. */
export interface RepeatSpec {
  readonly count: number
  readonly intervalMs: number
  readonly firstRunAt: number
}

/** A job as it was accepted; it never changes. */
export interface JobGraph {
  readonly id: string
  readonly organisation: string
  /** The queue as it was declared when the job was accepted. */
  readonly queue: QueuePolicy
  /** Opaque text for the program. */
  readonly payload: string
  readonly steps: readonly StepSpec[]
  readonly repeat?: RepeatSpec
  readonly acceptedAt: number
}

/** Where a job stands, as consumers see it. */
export const JobPhase = { queued: 'queued', running: 'running', completed: 'completed', failed: 'failed', cancelled: 'cancelled' } as const
export type JobPhase = typeof JobPhase[keyof typeof JobPhase]

/** True for a phase that never changes again. */
export function isFinalPhase (phase: JobPhase): boolean {
  return phase === JobPhase.completed || phase === JobPhase.failed || phase === JobPhase.cancelled
}

/** How a run ended at its worker. */
export const RunEnd = {
  done: 'done',
  /** Through the task's own fault or the worker's. */
  failed: 'failed',
  stopped: 'stopped',
  /** The worker's lease ran out. */
  lapsed: 'lapsed',
  /** Another member of the gang ended. */
  broken: 'broken',
  /** The other members of the gang did not come in time. */
  alone: 'alone'
} as const
export type RunEnd = typeof RunEnd[keyof typeof RunEnd]
