/**
 * Types of the gang scheduler: jobs, workers, guarantees, and what a planner decides. Times are in milliseconds.
 */

/** How close the tasks of a gang must be to each other. */
export const GangAdjacency = { worker: 'worker', rack: 'rack', failureDomain: 'failureDomain' } as const
export type GangAdjacency = typeof GangAdjacency[keyof typeof GangAdjacency]

/** Amounts in the three dimensions of a worker. */
export interface Resources {
  readonly accelerators: number
  readonly cores: number
  readonly memoryGb: number
}

/** A job as its caller submitted it; never changes. */
export interface JobSpec {
  readonly id: string
  /** A repeat with the same key and organisation gives the same job. */
  readonly idempotencyKey: string
  readonly className: string
  readonly organisation: string
  /** Number of tasks that run together or not at all. */
  readonly tasks: number
  /** What each task needs. */
  readonly shape: Resources
  readonly adjacency: GangAdjacency
  /** Run time that the caller expects; may be wrong by a large factor. */
  readonly declaredRunMs: number
  /** Time from submission to the finish target. */
  readonly finishWithinMs: number
  readonly isCheckpointable: boolean
}

/** One task's place. The index in a placement is the index of the task. */
export type Placement = readonly string[]

/** Why a job failed for good. */
export const JobFailure = {
  neverFits: 'neverFits',
  failsEverywhere: 'failsEverywhere',
  invalid: 'invalid'
} as const
export type JobFailure = typeof JobFailure[keyof typeof JobFailure]

/** What follows once every task of a gang has stopped. */
export type StopGoal =
  | { readonly kind: 'requeue' }
  | { readonly kind: 'fail', readonly reason: JobFailure }
  | { readonly kind: 'cancel' }

/** Where a job stands. The incarnation grows with each attempt to run the gang. */
export type JobState =
  | { readonly kind: 'queued', readonly incarnation: number }
  | { readonly kind: 'reserving', readonly incarnation: number, readonly placement: Placement, readonly expiresAt: number }
  | { readonly kind: 'committed', readonly incarnation: number, readonly placement: Placement }
  | { readonly kind: 'running', readonly incarnation: number, readonly placement: Placement, readonly startedAt: number }
  | { readonly kind: 'checkpointing', readonly incarnation: number, readonly placement: Placement }
  | { readonly kind: 'stopping', readonly incarnation: number, readonly placement: Placement, readonly goal: StopGoal }
  | { readonly kind: 'done' }
  | { readonly kind: 'failed', readonly reason: JobFailure }
  | { readonly kind: 'cancelled' }
export type JobStateKind = JobState['kind']

/** Whether a worker may get new tasks. */
export const WorkerState = { ready: 'ready', leaving: 'leaving', quarantined: 'quarantined', lost: 'lost' } as const
export type WorkerState = typeof WorkerState[keyof typeof WorkerState]

/** What is known of a worker. */
export interface WorkerFacts extends Resources {
  readonly id: string
  readonly rack: string
  readonly failureDomain: string
  readonly region: string
  readonly state: WorkerState
}

/** A shape that an organisation can always have back. An accelerator brings its share of the worker's cores and memory. */
export interface Guarantee {
  readonly organisation: string
  readonly accelerators: number
  readonly adjacency: GangAdjacency
  /** How many such shapes. */
  readonly count: number
  /** Time within which a reclaimed shape must be free. */
  readonly startWithinMs: number
}

/** A job that waits for a place. */
export interface WaitingJob {
  readonly spec: JobSpec
  readonly submittedAt: number
  /** Run time already saved in checkpoints. */
  readonly doneMs: number
}

/** A job that holds its place. */
export interface RunningJob extends WaitingJob {
  readonly placement: Placement
  readonly startedAt: number
  /** Last moment whose work a stop would not lose. */
  readonly savedAt: number
  /** How long a checkpoint is expected to take. */
  readonly checkpointMs: number
  /** True from the moment that a checkpoint or stop was ordered. */
  readonly isLeaving: boolean
  /** Keys of the guaranteed shapes that the job uses, one for the gang or one a task; empty for a job that borrows. */
  readonly coveredBy: readonly string[]
}

/** How capacity is taken back; each loses more work than the one before. */
export const ReclaimMethod = { throttle: 'throttle', checkpoint: 'checkpoint', stop: 'stop' } as const
export type ReclaimMethod = typeof ReclaimMethod[keyof typeof ReclaimMethod]

/** What a planner decides. The gang state machine carries it out. */
export type PlanAction =
  | { readonly kind: 'start', readonly jobId: string, readonly placement: Placement, readonly coveredBy: readonly string[] }
  | { readonly kind: 'reserve', readonly jobId: string, readonly workers: readonly string[], readonly expectedStartAt: number }
  | { readonly kind: 'reclaim', readonly jobId: string, readonly how: ReclaimMethod, readonly forJob: string }
  | { readonly kind: 'fail', readonly jobId: string, readonly reason: JobFailure, readonly message: string }
  | { readonly kind: 'quarantine', readonly workerId: string, readonly until: number }

/** All that a planner decides upon, in order of submission where order matters. */
export interface PlanSnapshot {
  readonly workers: readonly WorkerFacts[]
  readonly guarantees: readonly Guarantee[]
  readonly waiting: readonly WaitingJob[]
  readonly running: readonly RunningJob[]
}

/** Decides on placement, reclaim and failure of jobs; pure, so that any holder of the planner's duty decides alike. */
export interface Planner {
  schedule (snapshot: PlanSnapshot, now: number): PlanAction[]
}
