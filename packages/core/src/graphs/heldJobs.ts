/**
 * Bounds the memory that the planner needs for the tasks of jobs. A large job whose tasks don't fit beside those that are held waits until others have ended;
 * small jobs don't wait for it.
 */
import type { JobGraph } from './graphTypes.js'
import { countTasks } from './graphTypes.js'
import { addOccurrence, getHeadPart, isActive, isTimed } from './jobState.js'
import type { JobState } from './jobState.js'
import { updateOccurrences } from './occurrences.js'
import type { PlannerLog } from './plannerLog.js'

/** Memory for the state of a task, and for that of a step, in bytes, without runs. */
const TASK_BYTES = 400
const STEP_BYTES = 1_000
/** Memory for the tasks of large jobs, in bytes; a planner has some 60 MB beside what it needs at least. */
const MAX_LARGE_BYTES = 24 * 1024 * 1024
/** Memory of an occurrence up to which a job counts as small, in bytes. */
const MAX_SMALL_BYTES = 256 * (TASK_BYTES + STEP_BYTES)

export class HeldJobs {
  private readonly _log: PlannerLog
  /** Jobs that wait for memory. */
  private readonly _deferred = new WeakSet<JobState>()
  /** Memory of one occurrence of a job, by its graph. */
  private readonly _measured = new WeakMap<JobGraph, number>()
  private _largeBytes = 0

  constructor (log: PlannerLog) {
    this._log = log
  }

  /** Creates the tasks of a new job if there is room for them; those of a job with times are created by {@link update}. */
  add (job: JobState): void {
    this._largeBytes += this._measureLarge(job)
    if (!isTimed(job.graph) && isActive(job)) this._openOccurrences(job, 0)
  }

  /** Creates the occurrences of active jobs that are due by `wallTime`, in milliseconds since 1970, and drops the tasks of large jobs that have ended. */
  update (jobs: Iterable<JobState>, wallTime: number): void {
    const listed = [...jobs]
    for (const job of listed) if (!isActive(job) && this._measureLarge(job) > 0) dropTasks(job)
    this._largeBytes = listed.reduce((sum, job) => sum + this._measureLarge(job), 0)
    for (const job of listed) if (isActive(job)) this._openOccurrences(job, wallTime)
  }

  private _openOccurrences (job: JobState, wallTime: number): void {
    const bytes = this._measureOccurrence(job.graph)
    const isRoom = (): boolean => bytes <= MAX_SMALL_BYTES || this._largeBytes === 0 || this._largeBytes + bytes <= MAX_LARGE_BYTES
    const { size } = job.occurrences
    if (isTimed(job.graph)) updateOccurrences(job, wallTime, isRoom)
    else if (size === 0 && isRoom()) addOccurrence(job, 0)
    if (bytes > MAX_SMALL_BYTES) this._largeBytes += (job.occurrences.size - size) * bytes
    if (job.occurrences.size === 0 && !isTimed(job.graph)) this._noteDeferred(job, bytes)
  }

  /** Returns the memory of the held occurrences of a large job, 0 for a small one, in bytes. */
  private _measureLarge (job: JobState): number {
    const bytes = this._measureOccurrence(job.graph)
    return bytes <= MAX_SMALL_BYTES ? 0 : bytes * job.occurrences.size
  }

  private _measureOccurrence (graph: JobGraph): number {
    const known = this._measured.get(graph)
    if (known !== undefined) return known
    const bytes = measureOccurrence(graph)
    this._measured.set(graph, bytes)
    return bytes
  }

  private _noteDeferred (job: JobState, bytes: number): void {
    if (this._deferred.has(job)) return
    this._deferred.add(job)
    this._log.note('job waits for memory', { job: job.graph.id, tasks: countTasks(job.graph.steps), bytes, heldBytes: this._largeBytes })
  }
}

function measureOccurrence ({ steps }: JobGraph): number {
  return countTasks(steps) * TASK_BYTES + steps.length * STEP_BYTES
}

/** Drops the tasks of a large job that has ended, once nothing of it runs or has to be stored. */
function dropTasks (job: JobState): void {
  if (job.runCount > 0 || job.version > job.durableVersion) return
  const head = getHeadPart(job)
  job.occurrences.clear()
  job.parts.clear()
  job.parts.set(head.name, head)
}
