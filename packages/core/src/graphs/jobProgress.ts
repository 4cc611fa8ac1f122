/**
 * Stored record of a job's progress: compact JSON that contains only the steps that have started. Restoring a record gives the state at
 * the time of writing; its runs count as alive until their workers report. A job of many tasks has several records, see `recordPart.ts`.
 */
import { JobPhase } from './graphTypes.js'
import type { JobGraph } from './graphTypes.js'
import { RunPhase, addFailedWorker, addOccurrence, createJobState, markPartChanged } from './jobState.js'
import type { JobState, RunState, StepState, TaskState, WorkerLocation } from './jobState.js'
import { countDroppedOccurrences } from './occurrences.js'
import { HEAD_PART, MAX_PART_TASKS, isPartitioned } from './recordPart.js'

/** Stored run: run number, id of the worker, start time of the worker's incarnation, address of the worker. */
type RunRecord = readonly [number, string, number, string]
/** Stored crashes: see `crashes`, `soleCrashes` and `lastCrashedRun` of a task. */
type CrashRecord = readonly [number, number, number]
/**
 * Stored task: done (0 or 1), number of failed runs, number of the last run, checkpoint, runs, ids of the workers on which it failed, and crashes, if
 * there were any.
 */
type TaskRecord = readonly [number, number, number, string, readonly RunRecord[], readonly string[], CrashRecord?]

/** Stored progress of one step of an occurrence. */
export interface StepRecord {
  /** Number of failed runs of a gang; `failedRun` is the run number of the last failure. */
  readonly failures: number
  readonly failedRun: number
  readonly tasks: readonly TaskRecord[]
}

/** Stored progress of a job. */
export interface ProgressRecord {
  readonly phase: JobPhase
  /** Wall time at which the job ended, in milliseconds since 1970. */
  readonly endedAt?: number
  /** Present if occurrences were dropped: the number of the next occurrence, and the numbers of those that are held; the others before the next one are done. */
  readonly occurrences?: { readonly next: number, readonly held: readonly number[] }
  /** Steps by `OCCURRENCE.STEP`, the numbers of the occurrence and of the step. */
  readonly steps: Readonly<Record<string, StepRecord>>
  /** True if the record was joined from parts. */
  readonly isPartitioned?: boolean
}

/** Record of a task that has not started. */
const NOT_STARTED: TaskRecord = [0, 0, 0, '', [], []]

/** Tasks of one step in one part of a job's progress: those from index `from` on. */
export interface StepSlice extends StepRecord {
  readonly from: number
}

/** Stored part of a job's progress apart from its head; steps by `OCCURRENCE.STEP`. */
export interface PartRecord {
  readonly steps: Readonly<Record<string, StepSlice>>
}

/** Stored head of a job whose tasks are stored in parts. It has no steps, so that a build that knows no parts can't read it and leaves the job alone. */
export interface HeadRecord {
  readonly phase: JobPhase
  readonly endedAt?: number
  readonly occurrences: { readonly next: number, readonly held: readonly number[] }
  /** Number of tasks in a part. */
  readonly partTasks: number
}

/** Encodes a part of a job's progress as its stored record. */
export function encodePart (job: JobState, name: string): string {
  const part = job.parts.get(name)
  if (name !== HEAD_PART && part !== undefined) return JSON.stringify({ steps: encodeSlices(part.tasks) } satisfies PartRecord)
  if (!isPartitioned(job.graph)) return encodeProgress(job)
  const occurrences = { next: job.nextOccurrence, held: [...job.occurrences.keys()] }
  return JSON.stringify({ phase: job.phase, ...(job.endedAt === undefined ? {} : { endedAt: job.endedAt }), occurrences, partTasks: MAX_PART_TASKS } satisfies HeadRecord)
}

/** Joins the records of a job whose tasks are stored in parts. Tasks of a part without a record have not started. */
export function joinRecords (graph: JobGraph, head: HeadRecord, parts: readonly PartRecord[]): ProgressRecord {
  const steps: Record<string, { failures: number, failedRun: number, tasks: TaskRecord[] }> = {}
  for (const [key, slice] of parts.flatMap(part => Object.entries(part.steps))) {
    const count = graph.steps[Number(key.split('.')[1])]?.count ?? 0
    const step = steps[key] ?? { failures: 0, failedRun: 0, tasks: Array.from({ length: count }, () => NOT_STARTED) }
    steps[key] = step
    if (slice.from === 0) Object.assign(step, { failures: slice.failures, failedRun: slice.failedRun })
    for (const [index, task] of slice.tasks.entries()) step.tasks[slice.from + index] = task
  }
  const { phase, endedAt, occurrences } = head
  return { phase, ...(endedAt === undefined ? {} : { endedAt }), occurrences, steps, isPartitioned: true }
}

/** Encodes the progress of a job as one record. */
function encodeProgress (job: JobState): string {
  const steps: Record<string, StepRecord> = {}
  for (const [occurrence, list] of job.occurrences) {
    for (const step of list) if (hasStarted(step)) steps[`${occurrence}.${step.index}`] = encodeStep(step)
  }
  const occurrences = countDroppedOccurrences(job) === 0 ? {} : { occurrences: { next: job.nextOccurrence, held: [...job.occurrences.keys()] } }
  const record: ProgressRecord = { phase: job.phase, ...(job.endedAt === undefined ? {} : { endedAt: job.endedAt }), ...occurrences, steps }
  return JSON.stringify(record)
}

/** Restores a job from its stored record; a job without a record has not started. */
export function restoreJob (graph: JobGraph, record: ProgressRecord | undefined, now: number): JobState {
  const job = createJobState(graph, now)
  if (record === undefined) return job
  job.phase = record.phase
  job.endedAt = record.endedAt
  for (const [key, stepRecord] of Object.entries(record.steps)) {
    const [occurrence, index] = key.split('.').map(Number)
    const step = getStep(job, occurrence ?? 0, index ?? 0)
    if (step !== undefined) restoreStep(step, stepRecord, now)
  }
  restoreOccurrences(job, record)
  job.version = 1
  job.durableVersion = 1
  // A build without parts has stored the job in one record.
  if (isPartitioned(graph) && record.isPartitioned !== true) for (const part of job.parts.values()) markPartChanged(job, part)
  return job
}

/** Creates the occurrences of which no step has started, which are not among the stored steps. */
function restoreOccurrences (job: JobState, { occurrences }: ProgressRecord): void {
  const next = occurrences?.next ?? job.nextOccurrence
  const held = occurrences?.held ?? Array.from({ length: next }, (_, number) => number)
  for (const number of held) if (!job.occurrences.has(number)) addOccurrence(job, number)
  job.nextOccurrence = next
}

function hasStarted (step: StepState): boolean {
  return step.tasks.some(task => task.lastRun > 0)
}

function encodeStep (step: StepState): StepRecord {
  return { failures: step.gangFailures, failedRun: step.failedRun, tasks: step.tasks.map(encodeTask) }
}

/** Encodes consecutive tasks by the steps they belong to; steps of which none has started are left out. */
function encodeSlices (tasks: readonly TaskState[]): Record<string, StepSlice> {
  const slices: Record<string, StepSlice> = {}
  for (let start = 0; start < tasks.length;) {
    const { step, index: from } = tasks[start] as TaskState
    let end = start
    while (tasks[end]?.step === step) end++
    const members = tasks.slice(start, end)
    if (members.some(task => task.lastRun > 0)) slices[`${step.occurrence}.${step.index}`] = { failures: step.gangFailures, failedRun: step.failedRun, from, tasks: members.map(encodeTask) }
    start = end
  }
  return slices
}

function encodeTask (task: TaskState): TaskRecord {
  const runs = task.runs.map(run => [run.number, run.worker.id, run.worker.born, run.worker.address] as const)
  const record = [task.isDone ? 1 : 0, task.failures, task.lastRun, task.checkpoint, runs, [...task.failedOn]] as const
  return task.lastCrashedRun === 0 ? record : [...record, [task.crashes, task.soleCrashes, task.lastCrashedRun]]
}

function getStep (job: JobState, occurrence: number, index: number): StepState | undefined {
  const steps = job.occurrences.get(occurrence) ?? addOccurrence(job, occurrence)
  return steps[index]
}

function restoreStep (step: StepState, record: StepRecord, now: number): void {
  step.gangFailures = record.failures
  step.failedRun = record.failedRun
  for (const [index, taskRecord] of record.tasks.entries()) {
    const task = step.tasks[index]
    if (task !== undefined) restoreTask(task, taskRecord, now)
  }
  step.remaining = step.tasks.filter(task => !task.isDone).length
}

function restoreTask (task: TaskState, record: TaskRecord, now: number): void {
  const [done, failures, lastRun, checkpoint, runs, failedOn, crashes] = record
  task.isDone = done === 1
  task.failures = failures
  task.lastRun = lastRun
  task.checkpoint = checkpoint
  task.crashes = crashes?.[0] ?? 0
  task.soleCrashes = crashes?.[1] ?? 0
  task.lastCrashedRun = crashes?.[2] ?? 0
  for (const workerId of failedOn) addFailedWorker(task, workerId)
  task.step.job.runCount += runs.length
  for (const [number, id, born, address] of runs) task.runs.push({ ...createRun(task, number, { id, born, address }, 0, now, undefined), isAdopted: true })
}

/** Creates the state of a run that was just assigned. */
export function createRun (task: TaskState, number: number, worker: WorkerLocation, version: number, now: number, ticket: string | undefined): RunState {
  return {
    task,
    number,
    worker,
    version,
    assignedAt: now,
    isAdopted: false,
    ticket,
    phase: RunPhase.assigned,
    runningSince: undefined,
    stoppingSince: undefined,
    stopReason: '',
    percent: 0,
    percentChangedAt: now,
    firstObservation: undefined,
    msPerPercent: undefined,
    usage: 0,
    pace: 100,
    sentPace: 100,
    wasCold: false,
    startCheckpoint: task.checkpoint
  }
}
