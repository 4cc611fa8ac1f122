/**
 * Types of the gang scheduler: jobs, workers, guarantees and the planner's decisions. Times are in milliseconds.
 */

/** Level of the topology domain that must contain all tasks of a gang. */
export const GangAdjacency = { worker: 'worker', rack: 'rack', failureDomain: 'failureDomain' } as const
export type GangAdjacency = typeof GangAdjacency[keyof typeof GangAdjacency]

/** Resource amounts in the three dimensions of a worker. */
export interface Resources {
  readonly accelerators: number
  readonly cores: number
  readonly memoryGb: number
}

/** Immutable specification of a job as its caller submitted it. */
export interface JobSpec {
  readonly id: string
  /** A repeated submission with the same key and organisation returns the same job. */
  readonly idempotencyKey: string
  readonly className: string
  readonly organisation: string
  /** Number of tasks, which run together or not at all. */
  readonly tasks: number
  /** Resources of each task. */
  readonly shape: Resources
  readonly adjacency: GangAdjacency
  /** Run time that the caller expects, which may be wrong by a large factor. */
  readonly declaredRunMs: number
  /** Time from submission to the finish target. */
  readonly finishWithinMs: number
  readonly isCheckpointable: boolean
}

/** Ids of the workers of a gang's tasks; the index is the task number. */
export type Placement = readonly string[]

/** Reason why a job failed for good. */
export const JobFailure = {
  neverFits: 'neverFits',
  failsEverywhere: 'failsEverywhere',
  invalid: 'invalid'
} as const
export type JobFailure = typeof JobFailure[keyof typeof JobFailure]

/** What happens to a gang once all its tasks have stopped. */
export type StopGoal =
  | { readonly kind: 'requeue' }
  | { readonly kind: 'fail', readonly reason: JobFailure }
  | { readonly kind: 'cancel' }

/** State of a job. The incarnation increases by one each time the gang is placed. */
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

/** State of a worker; only a `ready` worker is given new tasks. */
export const WorkerState = { ready: 'ready', leaving: 'leaving', quarantined: 'quarantined', lost: 'lost' } as const
export type WorkerState = typeof WorkerState[keyof typeof WorkerState]

/** Location, capacity and state of a worker. */
export interface WorkerDescription extends Resources {
  readonly id: string
  readonly rack: string
  readonly failureDomain: string
  readonly region: string
  readonly state: WorkerState
}

/** A shape that is guaranteed to an organisation. Each accelerator includes its proportional share of the worker's cores and memory. */
export interface Guarantee {
  readonly organisation: string
  readonly accelerators: number
  readonly adjacency: GangAdjacency
  /** Number of shapes of this kind. */
  readonly count: number
  /** Time within which a shape must be free when capacity has to be reclaimed for it. */
  readonly startWithinMs: number
}

/** A job that waits for a placement. */
export interface WaitingJob {
  readonly spec: JobSpec
  readonly submittedAt: number
  /** Run time in milliseconds that is already saved in checkpoints. */
  readonly doneMs: number
}

/** A job that holds the resources of its placement. */
export interface RunningJob extends WaitingJob {
  readonly placement: Placement
  readonly startedAt: number
  /** Time up to which work is saved; a stop loses the work done since. */
  readonly savedAt: number
  /** Expected duration of a checkpoint. */
  readonly checkpointMs: number
  /** True once a checkpoint or stop has been ordered. */
  readonly isStopping: boolean
  /** Keys of the guaranteed shapes that the job is charged to, one for the gang or one per task; empty for a job on borrowed capacity. */
  readonly coveredBy: readonly string[]
}

/** Ways to reclaim capacity from a running gang, from the least to the most work lost. */
export const ReclaimMethod = { throttle: 'throttle', checkpoint: 'checkpoint', stop: 'stop' } as const
export type ReclaimMethod = typeof ReclaimMethod[keyof typeof ReclaimMethod]

/** Decision of a planner, carried out by the gang state machine. */
export type PlanAction =
  | { readonly kind: 'start', readonly jobId: string, readonly placement: Placement, readonly coveredBy: readonly string[] }
  | { readonly kind: 'reserve', readonly jobId: string, readonly workers: readonly string[], readonly expectedStartAt: number }
  | { readonly kind: 'reclaim', readonly jobId: string, readonly how: ReclaimMethod, readonly forJob: string }
  | { readonly kind: 'fail', readonly jobId: string, readonly reason: JobFailure, readonly message: string }
  | { readonly kind: 'quarantine', readonly workerId: string, readonly until: number }

/** Input of the planner's decisions. Where the order matters, jobs are in order of submission. */
export interface PlanSnapshot {
  readonly workers: readonly WorkerDescription[]
  readonly guarantees: readonly Guarantee[]
  readonly waiting: readonly WaitingJob[]
  readonly running: readonly RunningJob[]
}

/** Decides on placement, reclaim and failure of jobs. Has no side effects, so that every planner that becomes leader decides alike. */
export interface Planner {
  schedule (snapshot: PlanSnapshot, now: number): PlanAction[]
}
