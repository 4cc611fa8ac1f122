/**
 * Bounds the memory that the planner needs for the tasks of jobs. A large job whose tasks don't fit beside those that are held waits until others have ended;
 * small jobs don't wait for it. Large jobs of which nothing has started make room in turn, since they may wait for workers that never come.
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
/** Time after which the tasks of a large job make room if none has started, in milliseconds. */
const UNSTARTED_MS = 2_000

export class HeldJobs {
  private readonly _log: PlannerLog
  /** Jobs that wait for memory, in the order in which they get it. */
  private readonly _deferred = new Set<JobState>()
  /** When the tasks of a large job were created, on the planner's clock. */
  private readonly _heldSince = new WeakMap<JobState, number>()
  /** Memory of one occurrence of a job, by its graph. */
  private readonly _measured = new WeakMap<JobGraph, number>()
  private _largeBytes = 0

  constructor (log: PlannerLog) {
    this._log = log
  }

  /** Creates the tasks of a new job if there is room for them; those of a job with times are created by {@link update}. */
  add (job: JobState, now: number): void {
    this._largeBytes += this._measureLarge(job)
    if (!isTimed(job.graph) && isActive(job)) this._openOccurrences(job, 0, now)
  }

  /**
   * Creates the occurrences of active jobs that are due by `wallTime`, in milliseconds since 1970, and drops the tasks of large jobs that have ended. `now` is on the planner's clock.
   */
  update (jobs: Iterable<JobState>, wallTime: number, now: number): void {
    const listed = [...jobs]
    for (const job of listed) if (!isActive(job) && this._measureLarge(job) > 0 && isSettled(job)) dropTasks(job)
    this._largeBytes = listed.reduce((sum, job) => sum + this._measureLarge(job), 0)
    for (const job of this._deferred) if (!isActive(job)) this._deferred.delete(job)
    if (this._deferred.size > 0) this._releaseUnstarted(listed, now)
    for (const job of [...this._deferred]) this._openOccurrences(job, wallTime, now)
    for (const job of listed) if (isActive(job) && !this._deferred.has(job)) this._openOccurrences(job, wallTime, now)
  }

  /** Drops the tasks of large jobs of which nothing has started for a while; these jobs come last of those that wait. */
  private _releaseUnstarted (jobs: readonly JobState[], now: number): void {
    for (const job of jobs) {
      if (!isActive(job) || isTimed(job.graph) || this._measureLarge(job) === 0 || job.version > 0) continue
      if (now - (this._heldSince.get(job) ?? now) < UNSTARTED_MS) continue
      this._largeBytes -= this._measureLarge(job)
      dropTasks(job)
      this._deferred.add(job)
      this._log.note('job gives memory up', { job: job.graph.id, heldMs: now - (this._heldSince.get(job) ?? now) })
    }
  }

  private _openOccurrences (job: JobState, wallTime: number, now: number): void {
    const bytes = this._measureOccurrence(job.graph)
    const isRoom = (): boolean => bytes <= MAX_SMALL_BYTES || this._largeBytes === 0 || this._largeBytes + bytes <= MAX_LARGE_BYTES
    const { size } = job.occurrences
    if (isTimed(job.graph)) updateOccurrences(job, wallTime, isRoom)
    else if (size === 0 && isRoom()) addOccurrence(job, 0)
    if (bytes > MAX_SMALL_BYTES) this._largeBytes += (job.occurrences.size - size) * bytes
    if (isTimed(job.graph)) return
    if (job.occurrences.size === 0) return this._recordDeferred(job, bytes)
    this._deferred.delete(job)
    if (size === 0) this._heldSince.set(job, now)
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

  private _recordDeferred (job: JobState, bytes: number): void {
    if (this._deferred.has(job)) return
    this._deferred.add(job)
    this._log.note('job waits for memory', { job: job.graph.id, tasks: countTasks(job.graph.steps), bytes, heldBytes: this._largeBytes })
  }
}

function measureOccurrence ({ steps }: JobGraph): number {
  return countTasks(steps) * TASK_BYTES + steps.length * STEP_BYTES
}

/** True if nothing of a job runs or has to be stored. */
function isSettled (job: JobState): boolean {
  return job.runCount === 0 && job.version <= job.durableVersion
}

function dropTasks (job: JobState): void {
  const head = getHeadPart(job)
  job.occurrences.clear()
  job.parts.clear()
  job.parts.set(head.name, head)
}
