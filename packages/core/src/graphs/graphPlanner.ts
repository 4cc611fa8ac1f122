/**
 * The planner of job graphs: takes jobs, cancellations and workers' reports, decides what starts and stops where, and says
 * what has to be stored. It does no I/O and holds no clock. A start may go out once `acceptDurable` has covered its version.
 */
import { JobPhase, isFinalPhase } from './graphTypes.js'
import type { JobGraph, StepSpec } from './graphTypes.js'
import { encodeProgress, restoreJob } from './jobProgress.js'
import { addOccurrence, countOccurrences, isActive, isTimed, listTasks, markChanged } from './jobState.js'
import type { JobState, TaskState, WorkerKey } from './jobState.js'
import { listOrders } from './orderList.js'
import { ObjectiveOrder } from './objectiveOrder.js'
import { GraphPass } from './graphPass.js'
import type { PlannerLog } from './plannerLog.js'
import type { PlannerPolicy } from './plannerPolicy.js'
import type { PlannerTimes } from './plannerTimes.js'
import { RunTracker } from './runTracker.js'
import { RunTimeEstimator } from './runTimeEstimator.js'
import type { TaskName } from './taskName.js'
import type { WaitingOrder } from './waitingStep.js'
import { WorkerRegistry } from './workerRegistry.js'
import type { WorkerOrders, WorkerReport } from './workerReport.js'
import { WorkerHealthTracker } from './workerHealthTracker.js'

/** Parts and settings of a planner. */
export interface GraphPlannerOptions {
  readonly times: PlannerTimes
  readonly log: PlannerLog
  /** Returns the time of day in milliseconds since 1970. */
  readonly getWallTime: () => number
  /** Order of waiting steps; by what is owed when absent. */
  readonly createOrder?: (runTimes: RunTimeEstimator) => WaitingOrder
}

/** A job whose state has to be stored. */
export interface DirtyJob {
  readonly jobId: string
  readonly version: number
  readonly phase: JobPhase
  readonly queue: string
  readonly organisation: string
  /** The progress record. */
  readonly record: string
}

export class GraphPlanner {
  private readonly _options: GraphPlannerOptions
  private readonly _jobs = new Map<string, JobState>()
  private readonly _workerHealth = new WorkerHealthTracker()
  private readonly _runTimes = new RunTimeEstimator()
  private readonly _runTracker: RunTracker
  private readonly _registry: WorkerRegistry
  private readonly _pass: GraphPass
  private _policy: PlannerPolicy = { queues: [], guarantees: [] }
  private _leadershipConfirmedAt = -Infinity
  private _checkpointsMarkedAt = -Infinity

  constructor (options: GraphPlannerOptions) {
    const { log, times, getWallTime } = options
    this._options = options
    this._runTracker = new RunTracker({ log, workerHealth: this._workerHealth, runTimes: this._runTimes, getWallTime, getWorker: run => this._registry.get(run.worker) })
    this._registry = new WorkerRegistry({ log, times, runTracker: this._runTracker, findTask: name => this._findTask(name) })
    const order = options.createOrder?.(this._runTimes) ?? new ObjectiveOrder({ runTimes: this._runTimes, getWallTime })
    this._pass = new GraphPass({ registry: this._registry, runTracker: this._runTracker, workerHealth: this._workerHealth, runTimes: this._runTimes, order, times, log })
  }

  /** Number of jobs that have not ended. */
  get activeCount (): number {
    let count = 0
    for (const job of this._jobs.values()) if (isActive(job)) count++
    return count
  }

  getJob (jobId: string): JobState | undefined {
    return this._jobs.get(jobId)
  }

  setPolicy (policy: PlannerPolicy): void {
    this._policy = policy
  }

  /** Notes that the duty was held here at a moment of the planner's clock. */
  noteProof (confirmedAt: number): void {
    this._leadershipConfirmedAt = Math.max(this._leadershipConfirmedAt, confirmedAt)
  }

  /** Takes a job up, with its progress when it has begun. A job that is known stays as it is. */
  addJob (graph: JobGraph, progress: string | undefined, now: number): void {
    if (this._jobs.has(graph.id)) return
    const job = restoreJob(graph, progress, now)
    this._jobs.set(graph.id, job)
    this._options.log.note('job taken up', { job: graph.id, queue: graph.queue.name, organisation: graph.organisation, phase: job.phase, priority: graph.queue.priority, steps: graph.steps.map(describeStep), ageMs: this._options.getWallTime() - graph.acceptedAt })
    if (!isTimed(graph) && !job.occurrences.has(0)) addOccurrence(job, 0)
    for (const task of listTasks(job)) for (const run of [...task.runs]) this._registry.adopt(run, now)
    if (isFinalPhase(job.phase)) for (const task of listTasks(job)) for (const run of task.runs) this._runTracker.stop(run, `job ${job.phase}`, now)
    else this._runTimes.learnCoreSeconds(graph.queue.name, this._pass.computeWork(job))
  }

  /** Cancels a job; one that has ended stays so. */
  cancelJob (jobId: string, now: number): void {
    const job = this._jobs.get(jobId)
    if (job !== undefined) this._runTracker.endJob(job, JobPhase.cancelled, 'cancelled by its consumer', now)
  }

  /** Takes a worker's report over; false when a later life of the worker is known. */
  acceptReport (report: WorkerReport, now: number): boolean {
    return this._registry.accept(report, now) !== undefined
  }

  /** Does what time brings and places what can start. */
  plan (now: number): void {
    this._addDueOccurrences()
    this._registry.expire(now)
    this._markNewCheckpoints(now)
    this._pass.run([...this._jobs.values()].filter(isActive), this._policy, now)
  }

  /** Lists the jobs whose state has changed since it was last stored. */
  listDirty (): DirtyJob[] {
    const dirty: DirtyJob[] = []
    for (const job of this._jobs.values()) {
      if (job.version <= job.durableVersion) continue
      const { id, queue, organisation } = job.graph
      dirty.push({ jobId: id, version: job.version, phase: job.phase, queue: queue.name, organisation, record: encodeProgress(job) })
    }
    return dirty
  }

  /** Notes that a job's state of this version is stored. */
  acceptDurable (jobId: string, version: number): void {
    const job = this._jobs.get(jobId)
    if (job !== undefined) job.durableVersion = Math.max(job.durableVersion, version)
  }

  /** True when there is something to start, stop or pace at a worker that its last report doesn't know of. */
  hasOrders (key: WorkerKey): boolean {
    const worker = this._registry.get(key)
    if (worker === undefined) return false
    const { starts, stops, paces } = listOrders(worker, false, this._leadershipConfirmedAt)
    return starts.length + stops.length + paces.length > 0
  }

  /** Says what is wanted of a worker, given what its last report knew; permits its lease to be extended. */
  answerReport (key: WorkerKey, receivedAt: number, mayGrant: boolean): WorkerOrders | undefined {
    const worker = this._registry.get(key)
    if (worker === undefined) return undefined
    const mayExtend = mayGrant && worker.report?.isReachable === true
    if (mayExtend) this._registry.grant(worker, receivedAt)
    const orders = listOrders(worker, mayExtend, this._leadershipConfirmedAt)
    for (const run of worker.runs) run.sentPace = run.pace
    return orders
  }

  /** Forgets jobs that ended long ago; returns their ids. */
  removeOld (now: number): string[] {
    const removed: string[] = []
    for (const [jobId, job] of this._jobs) {
      const isOld = job.endedAt !== undefined && this._options.getWallTime() - job.endedAt > this._options.times.retentionMs && now - job.addedAt > this._options.times.retentionMs
      if (!isOld || listTasks(job).some(task => task.runs.length > 0)) continue
      this._jobs.delete(jobId)
      removed.push(jobId)
    }
    return removed
  }

  /** Stores new checkpoints now and then, all together, so that a loss of planner and workers at once loses little work. */
  private _markNewCheckpoints (now: number): void {
    if (now - this._checkpointsMarkedAt < this._options.times.checkpointMs) return
    this._checkpointsMarkedAt = now
    for (const job of this._jobs.values()) if (job.hasNewCheckpoint && isActive(job)) markChanged(job)
  }

  private _addDueOccurrences (): void {
    const wallTime = this._options.getWallTime()
    for (const job of this._jobs.values()) {
      const { repeat } = job.graph
      if (repeat === undefined || !isActive(job)) continue
      for (let number = 0; number < countOccurrences(job.graph); number++) {
        if (job.occurrences.has(number)) continue
        if (repeat.firstRunAt + number * repeat.intervalMs > wallTime) break
        addOccurrence(job, number)
        markChanged(job)
      }
    }
  }

  private _findTask (name: TaskName): TaskState | undefined {
    return this._jobs.get(name.jobId)?.occurrences.get(name.occurrence)?.[name.step]?.tasks[name.index]
  }
}

/** Describes a step in a line of the log: tasks, needs of one, declared time, and what binds its place. */
function describeStep (step: StepSpec): string {
  const marks = [
    step.isGang ? 'gang' : '',
    step.isSameRack ? 'same rack' : '',
    step.dataRack === undefined ? '' : `data in ${step.dataRack}`,
    step.requiredLabel === undefined ? '' : `label ${step.requiredLabel}`,
    step.maxPerWorker === undefined ? '' : `${step.maxPerWorker} per worker`,
    step.isCheckpointing ? 'checkpoints' : '',
    step.isSpeculative ? 'speculative' : '',
    step.isLongRunning ? 'long-running' : '',
    step.isFilling ? 'filling' : '',
    step.latencyTargetMs === undefined ? '' : `target ${step.latencyTargetMs} ms`,
    step.after.length === 0 ? '' : `after ${step.after.join('+')}`
  ]
  return [`${step.count} x ${step.cpuMillis} millis, ${step.memoryMb} MB, ${step.accelerators} accelerators, ${step.estimatedMs} ms`, ...marks.filter(mark => mark !== '')].join(', ')
}
