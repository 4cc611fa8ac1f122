/**
 * Types of jobs: graphs of steps, each with a number of tasks. Times are in milliseconds; the `At` fields of a job are wall time since 1970.
 */

/** Resources that one task takes on its worker. */
export interface TaskNeeds {
  /** Processor time in thousandths of a core. */
  readonly cpuMillis: number
  readonly memoryMb: number
  readonly accelerators: number
}

/** One step of a job, whose tasks are all alike. */
export interface StepSpec extends TaskNeeds {
  readonly count: number
  /** Run time of a task as the client declares it; may be far from the real one. */
  readonly estimatedMs: number
  /** Indices of the earlier steps whose tasks must all be done before this step starts. */
  readonly after: readonly number[]
  readonly isCheckpointing: boolean
  /** The tasks run only together and end together. */
  readonly isGang: boolean
  /** The tasks are slow unless all of them run in one rack. */
  readonly isSameRack: boolean
  /** Label that the worker must have. */
  readonly requiredLabel?: string
  /** Rack that holds the data; in other racks the tasks are slow. */
  readonly dataRack?: string
  /** Maximum number of tasks of the step on one worker. */
  readonly maxPerWorker?: number
  /** Several copies of a task may run concurrently; the result of the first to finish counts. */
  readonly isSpeculative: boolean
  /** The tasks run until the job is cancelled. */
  readonly isLongRunning: boolean
  /** Name of the program that the tasks run; tasks with the same image behave alike. */
  readonly image?: string
  /** Maximum tail latency of tasks that serve users, in milliseconds. */
  readonly latencyTargetMs?: number
  /** The tasks use processors that other tasks leave idle; these don't count against the worker's capacity. */
  readonly isFilling: boolean
  /** Maximum number of tasks of a long-running step that the system may stop or leave unstarted at the same time. */
  readonly mayMiss: number
}

/** Timing of the service that advises which workers may run a step. */
export interface AdviceTimes {
  readonly decisionMs: number
  readonly perWorkerMs: number
  /** How long a ticket for a start is valid, in milliseconds. */
  readonly validityMs: number
}

/** A queue of jobs as operators declare it. */
export interface QueuePolicy {
  readonly name: string
  /** Service whose workers run the queue's tasks. */
  readonly service: string
  /** 0 is the highest priority and may reclaim capacity from other work. */
  readonly priority: number
  /** Number of failed runs of a task after which its job fails. */
  readonly maxAttempts: number
  /** Objective for the duration of a job: `stretch` times the run time of its longest chain of steps, plus the target latency. */
  readonly stretch: number
  /** Constant part of the objective, in milliseconds. */
  readonly targetLatencyMs: number
  /** Present when an external service decides which workers may run a step. */
  readonly advice?: AdviceTimes
}

/** Schedule of a job whose steps run more than once. */
export interface RepeatSpec {
  readonly count: number
  readonly intervalMs: number
  readonly firstRunAt: number
}

/** Maximum number of tasks in the steps of one job; a planner holds the state of each. */
export const MAX_TASKS_PER_JOB = 10_000

/** Counts the tasks of one occurrence of a job. */
export function countTasks (steps: ReadonlyArray<Pick<StepSpec, 'count'>>): number {
  return steps.reduce((sum, step) => sum + step.count, 0)
}

/** True if each step comes only after earlier ones. */
export function hasOrderedSteps (steps: ReadonlyArray<Pick<StepSpec, 'after'>>): boolean {
  return steps.every((step, index) => step.after.every(before => before < index))
}

/** A job as it was accepted; immutable. */
export interface JobGraph {
  readonly id: string
  readonly organisation: string
  /** The queue as it was declared when the job was accepted. */
  readonly queue: QueuePolicy
  /** Opaque text that is passed to the program. */
  readonly payload: string
  readonly steps: readonly StepSpec[]
  readonly repeat?: RepeatSpec
  readonly acceptedAt: number
}

/** Phase of a job as reported to clients. */
export const JobPhase = { queued: 'queued', running: 'running', completed: 'completed', failed: 'failed', cancelled: 'cancelled' } as const
export type JobPhase = typeof JobPhase[keyof typeof JobPhase]

/** True for a phase in which the job has ended. */
export function isFinalPhase (phase: JobPhase): boolean {
  return phase === JobPhase.completed || phase === JobPhase.failed || phase === JobPhase.cancelled
}

/** How a run ended at its worker. */
export const RunEnd = {
  done: 'done',
  /** The run failed through a fault of the task or of the worker. */
  failed: 'failed',
  stopped: 'stopped',
  /** The worker's lease expired. */
  lapsed: 'lapsed',
  /** Another member of the gang ended. */
  broken: 'broken',
  /** The other members of the gang did not start in time. */
  alone: 'alone'
} as const
export type RunEnd = typeof RunEnd[keyof typeof RunEnd]
