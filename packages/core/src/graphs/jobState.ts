/**
 * A job's live state at the planner: steps, tasks and runs. Changed only by the planner's own modules.
 */
import { JobPhase, isFinalPhase } from './graphTypes.js'
import type { JobGraph, StepSpec } from './graphTypes.js'
import { formatStepName, formatTaskName } from './taskName.js'

/** Names one life of a worker. */
export interface WorkerKey {
  readonly id: string
  /** Wall time of its start; a later one means that it forgot everything. */
  readonly born: number
}

/** Where one life of a worker is. A later life at the same address means that this one is over. */
export interface WorkerLocation extends WorkerKey {
  readonly address: string
}

/** Where a run stands. It counts against its worker's capacity in each of these. */
export const RunPhase = {
  /** Decided; the order goes out once that is durable. */
  assigned: 'assigned',
  /** The worker lists it. */
  running: 'running',
  /** It must end; its end is not known yet. */
  stopping: 'stopping'
} as const
export type RunPhase = typeof RunPhase[keyof typeof RunPhase]

/** One start of a task. */
export interface RunState {
  readonly task: TaskState
  readonly number: number
  readonly worker: WorkerLocation
  /** The job's version from which on the run is in its record. */
  readonly version: number
  readonly assignedAt: number
  /** True when an earlier planner began it, so that this one doesn't know since when it works. */
  readonly isAdopted: boolean
  readonly ticket: string | undefined
  phase: RunPhase
  /** When the worker first listed it, and when it was asked to stop, on the planner's clock. */
  runningSince: number | undefined
  stoppingSince: number | undefined
  /** Why it was stopped; for logs. */
  stopReason: string
  /** Progress as the worker lists it, 0 to 100, and when it last moved. */
  percent: number
  percentChangedAt: number
  /** The progress from which on this planner has seen it move, and when that was, on its clock. */
  firstObservation: { readonly percent: number, readonly at: number } | undefined
  /** Load figure of the last half second: tail latency in ms for serving tasks, else processors in use. */
  usage: number
  /** Share of speed that the run is to have, 0 to 100, and the one that its agent was last told. */
  pace: number
  sentPace: number
  /** Checkpoint that the start carries. */
  readonly startCheckpoint: string
}

/** One task over all its runs. */
export interface TaskState {
  readonly name: string
  readonly step: StepState
  readonly index: number
  isDone: boolean
  failures: number
  lastRun: number
  /** Empty when there is none. */
  checkpoint: string
  /** Workers on which a run of the task failed. */
  readonly failedOn: Set<string>
  readonly runs: RunState[]
}

/** One step of one occurrence. */
export interface StepState {
  readonly job: JobState
  readonly occurrence: number
  readonly index: number
  readonly spec: StepSpec
  readonly name: string
  readonly tasks: TaskState[]
  /** Tasks that are not done. */
  remaining: number
  /** Runs of a gang that failed, and the number of the last of them. */
  gangFailures: number
  failedRun: number
  /** When the step last became ready to run, on the planner's clock. */
  readySince: number | undefined
}

/** One job. `version` grows with each change that has to be stored. */
export interface JobState {
  readonly graph: JobGraph
  phase: JobPhase
  version: number
  durableVersion: number
  /** True when a checkpoint came since the job was last marked for storing. */
  hasNewCheckpoint: boolean
  /** Occurrences by number; made when due. */
  readonly occurrences: Map<number, StepState[]>
  doneOccurrences: number
  endedAt: number | undefined
  /** When the planner took the job up, on its clock. */
  readonly addedAt: number
}

/** Creates a job's state without any occurrence. */
export function createJobState (graph: JobGraph, now: number): JobState {
  return { graph, phase: JobPhase.queued, version: 0, durableVersion: 0, hasNewCheckpoint: false, occurrences: new Map(), doneOccurrences: 0, endedAt: undefined, addedAt: now }
}

/** Creates the steps of an occurrence. */
export function addOccurrence (job: JobState, occurrence: number): StepState[] {
  const steps = job.graph.steps.map((spec, index) => createStep(job, occurrence, index, spec))
  job.occurrences.set(occurrence, steps)
  return steps
}

function createStep (job: JobState, occurrence: number, index: number, spec: StepSpec): StepState {
  const name = formatStepName(job.graph.id, occurrence, index)
  const step: StepState = { job, occurrence, index, spec, name, tasks: [], remaining: spec.count, gangFailures: 0, failedRun: 0, readySince: undefined }
  for (let number = 0; number < spec.count; number++) step.tasks.push(createTask(step, number))
  return step
}

function createTask (step: StepState, index: number): TaskState {
  const name = formatTaskName({ jobId: step.job.graph.id, occurrence: step.occurrence, step: step.index, index })
  return { name, step, index, isDone: false, failures: 0, lastRun: 0, checkpoint: '', failedOn: new Set(), runs: [] }
}

/** Notes a change that has to be stored. */
export function markChanged (job: JobState): void {
  job.version++
  job.hasNewCheckpoint = false
}

/** True while a job may still start tasks. */
export function isActive (job: JobState): boolean {
  return !isFinalPhase(job.phase)
}

/** True when a job waits for its times or repeats. */
export function isTimed (graph: JobGraph): boolean {
  return graph.repeat !== undefined
}

/** Number of occurrences of a job. */
export function countOccurrences (graph: JobGraph): number {
  return graph.repeat?.count ?? 1
}

/** Lists all tasks of a job's occurrences so far. */
export function listTasks (job: JobState): TaskState[] {
  return [...job.occurrences.values()].flatMap(steps => steps.flatMap(step => step.tasks))
}

/** Saves a checkpoint, if there is one; that of one member of a gang is valid for all. */
export function saveCheckpoint (task: TaskState, checkpoint: string): void {
  if (checkpoint === '' || checkpoint === task.checkpoint) return
  task.step.job.hasNewCheckpoint = true
  for (const holder of task.step.spec.isGang ? task.step.tasks : [task]) holder.checkpoint = checkpoint
}
