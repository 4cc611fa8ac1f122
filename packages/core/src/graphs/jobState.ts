/**
 * In-memory state of a job at the planner: steps, tasks and runs. Only the planner's own modules change it.
 */
import { JobPhase, isFinalPhase } from './graphTypes.js'
import type { JobGraph, StepSpec } from './graphTypes.js'
import { PartAllocator } from './partAllocator.js'
import { HEAD_PART, RecordPart, isPartitioned } from './recordPart.js'
import { formatStepName, formatTaskName } from './taskName.js'

/** Identifies one incarnation of a worker. */
export interface WorkerKey {
  readonly id: string
  /** Wall time at which the worker started. A later value means that the worker has restarted and lost all its state. */
  readonly born: number
}

/** One incarnation of a worker with its address. A later incarnation at the same address means that this one has ended. */
export interface WorkerLocation extends WorkerKey {
  readonly address: string
}

/** Maximum number of workers that are remembered of a task's failed runs; a task that lasts may fail any number of times. */
const MAX_FAILED_ON = 8

/** Phase of a run. A run counts against its worker's capacity in every phase. */
export const RunPhase = {
  /** The planner has assigned the run; the start order is sent once the assignment is stored. */
  assigned: 'assigned',
  /** The worker lists the run as running. */
  running: 'running',
  /** The run has to end, and its end has not been reported yet. */
  stopping: 'stopping'
} as const
export type RunPhase = typeof RunPhase[keyof typeof RunPhase]

/** One execution of a task. */
export interface RunState {
  readonly task: TaskState
  readonly number: number
  readonly worker: WorkerLocation
  /** First version of the job whose stored record contains the run. */
  readonly version: number
  readonly assignedAt: number
  /** True when an earlier planner started the run, so that this planner doesn't know when it began. */
  readonly isAdopted: boolean
  readonly ticket: string | undefined
  phase: RunPhase
  /** When the worker first listed the run; `stoppingSince` is when the planner requested the stop. Both are on the planner's clock. */
  runningSince: number | undefined
  stoppingSince: number | undefined
  /** Why the run was stopped; only for logs. */
  stopReason: string
  /** Progress that the worker lists, 0 to 100; `percentChangedAt` is when it last changed, on the planner's clock. */
  percent: number
  percentChangedAt: number
  /** First progress that this planner observed, and when, on the planner's clock; the run's speed is measured from there. */
  firstObservation: { readonly percent: number, readonly at: number } | undefined
  /** Time for one percent of progress in milliseconds, as the agent last measured it; undefined before. */
  msPerPercent: number | undefined
  /** Load over the last half second: tail latency in milliseconds for serving tasks, processors in use for others. */
  usage: number
  /** Speed at which the run should work, 0 to 100 percent of full speed; `sentPace` is the value last sent to its agent. */
  pace: number
  sentPace: number
  /** True if the run, or a member of its gang, was at a worker that was slow after its start, so that its duration and speed say nothing about others. */
  wasCold: boolean
  /** Checkpoint from which the run starts; empty when it starts from the beginning. */
  readonly startCheckpoint: string
}

/** One task with all its runs. */
export interface TaskState {
  readonly name: string
  readonly step: StepState
  readonly index: number
  isDone: boolean
  failures: number
  lastRun: number
  /** Last checkpoint; empty when there is none. */
  checkpoint: string
  /** Workers on which a run of the task failed, the last {@link MAX_FAILED_ON} of them. */
  failedOn: ReadonlySet<string>
  readonly runs: RunState[]
  /** Part of the job's stored progress that holds the task. */
  readonly part: RecordPart<TaskState>
  /** Number of workers in a row that crashed right after a run of the task had started there. */
  crashes: number
  /** Number of these crashes for which no run of another step could be the cause. */
  soleCrashes: number
  /** Number of the last run after whose start a worker crashed. */
  lastCrashedRun: number
}

/** One step of one occurrence of a job. */
export interface StepState {
  readonly job: JobState
  readonly occurrence: number
  readonly index: number
  readonly spec: StepSpec
  readonly name: string
  readonly tasks: TaskState[]
  /** Number of tasks that are not done. */
  remaining: number
  /** Number of failed runs of a gang; `failedRun` is the run number of the last failure. */
  gangFailures: number
  failedRun: number
  /** When the step last became ready to run, on the planner's clock. */
  readySince: number | undefined
}

/** State of one job. `version` increases with each change that has to be stored; `durableVersion` is the last version that is stored. */
export interface JobState {
  readonly graph: JobGraph
  phase: JobPhase
  version: number
  durableVersion: number
  /** True when a checkpoint was reported since the job was last marked for storing. */
  hasNewCheckpoint: boolean
  /** Steps of each occurrence, by the number of the occurrence, which is created when it is due; of a repeated job, old occurrences that are done are dropped. */
  readonly occurrences: Map<number, StepState[]>
  /** Number of the next occurrence to be created; those before it were created, in the order of their numbers. */
  nextOccurrence: number
  endedAt: number | undefined
  /** Number of runs of all tasks. */
  runCount: number
  /** When the job last had a run, or was added to this planner, on the planner's clock. */
  idleSince: number
  /** Parts of the stored progress, by name; see `recordPart.ts`. */
  readonly parts: Map<string, RecordPart<TaskState>>
  /** Names of parts that were dropped with their occurrences, and that the store may hold. */
  readonly droppedParts: Set<string>
  /** When the job was added to this planner, on the planner's clock. */
  readonly addedAt: number
}

/** Creates the state of a job without any occurrence. */
export function createJobState (graph: JobGraph, now: number): JobState {
  const parts = new Map([[HEAD_PART, new RecordPart<TaskState>(HEAD_PART)]])
  return { graph, phase: JobPhase.queued, version: 0, durableVersion: 0, hasNewCheckpoint: false, occurrences: new Map(), nextOccurrence: 0, endedAt: undefined, runCount: 0, idleSince: now, parts, droppedParts: new Set(), addedAt: now }
}

/** Creates the steps of an occurrence and adds them to the job. */
export function addOccurrence (job: JobState, occurrence: number): StepState[] {
  const allocator = new PartAllocator({ parts: job.parts, occurrence, isPartitioned: isPartitioned(job.graph) })
  const steps = job.graph.steps.map((spec, index) => createStep(job, occurrence, index, spec, allocator))
  job.occurrences.set(occurrence, steps)
  job.nextOccurrence = Math.max(job.nextOccurrence, occurrence + 1)
  return steps
}

/** Returns the part of a job's stored progress that holds its phase. */
export function getHeadPart (job: JobState): RecordPart<TaskState> {
  return job.parts.get(HEAD_PART) as RecordPart<TaskState>
}

function createStep (job: JobState, occurrence: number, index: number, spec: StepSpec, allocator: PartAllocator<TaskState>): StepState {
  const name = formatStepName(job.graph.id, occurrence, index)
  const step: StepState = { job, occurrence, index, spec, name, tasks: [], remaining: spec.count, gangFailures: 0, failedRun: 0, readySince: undefined }
  for (let number = 0; number < spec.count; number++) step.tasks.push(createTask(step, number, allocator.take()))
  return step
}

/** Shared by all tasks that have not failed, which are nearly all. */
const NOT_FAILED: ReadonlySet<string> = new Set()

function createTask (step: StepState, index: number, part: RecordPart<TaskState>): TaskState {
  const name = formatTaskName({ jobId: step.job.graph.id, occurrence: step.occurrence, step: step.index, index })
  const task: TaskState = { name, step, index, isDone: false, failures: 0, lastRun: 0, checkpoint: '', failedOn: NOT_FAILED, runs: [], part, crashes: 0, soleCrashes: 0, lastCrashedRun: 0 }
  if (part.name !== HEAD_PART) part.tasks.push(task)
  return task
}

/** Records that a run of a task has failed on a worker. */
export function addFailedWorker (task: TaskState, workerId: string): void {
  const others = [...task.failedOn].filter(id => id !== workerId)
  task.failedOn = new Set([...others.slice(-(MAX_FAILED_ON - 1)), workerId])
}

/** Marks what a job's head holds as changed, so that it is stored: the phase of the job, and which occurrences there are. */
export function markChanged (job: JobState): void {
  markPartChanged(job, getHeadPart(job))
}

/** Marks a task as changed, so that it is stored. */
export function markTaskChanged (task: TaskState): void {
  markPartChanged(task.step.job, task.part)
}

/** Marks a part of a job's stored progress as changed. */
export function markPartChanged (job: JobState, part: RecordPart<TaskState>): void {
  part.markChanged(++job.version)
}

/** Computes the last version of which all changes are stored, after a part was stored. */
export function updateDurableVersion (job: JobState): void {
  let durable = job.version
  for (const { changedSince } of job.parts.values()) if (changedSince !== undefined) durable = Math.min(durable, changedSince - 1)
  job.durableVersion = Math.max(job.durableVersion, durable)
}

/** True while a job has not ended and may start tasks. */
export function isActive (job: JobState): boolean {
  return !isFinalPhase(job.phase)
}

/** True when a job runs at given times or repeatedly. */
export function isTimed (graph: JobGraph): boolean {
  return graph.repeat !== undefined
}

/** Returns the total number of occurrences of a job. */
export function countOccurrences (graph: JobGraph): number {
  return graph.repeat?.count ?? 1
}

/** Lists all tasks of the occurrences of a job that were created so far. */
export function listTasks (job: JobState): TaskState[] {
  return [...job.occurrences.values()].flatMap(steps => steps.flatMap(step => step.tasks))
}

/** Saves a checkpoint unless it is empty. The checkpoint of one member of a gang is valid for all members. */
export function saveCheckpoint (task: TaskState, checkpoint: string): void {
  if (checkpoint === '' || checkpoint === task.checkpoint) return
  task.step.job.hasNewCheckpoint = true
  for (const member of task.step.spec.isGang ? task.step.tasks : [task]) {
    member.checkpoint = checkpoint
    member.part.hasNewCheckpoint = true
  }
}
