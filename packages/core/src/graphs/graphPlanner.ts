/**
 * The planner of job graphs: accepts jobs, cancellations and workers' reports, decides which runs start and stop on which workers, and
 * lists the state that has to be stored. It does no I/O and reads no clock. The start of a run is sent only once
 * `recordJobStored` was called with a version of the job that contains the run.
 */
import type { AdmissionForecast } from './admission.js'
import { createAdmissionForecast } from './admissionForecast.js'
import { ClassShares } from './classShares.js'
import { computeDeclaredCoreSeconds } from './coreSeconds.js'
import { JobPhase, isFinalPhase } from './graphTypes.js'
import type { JobGraph, StepSpec } from './graphTypes.js'
import { encodePart, restoreJob } from './jobProgress.js'
import type { ProgressRecord } from './jobProgress.js'
import { isActive, listTasks, markPartChanged, updateDurableVersion } from './jobState.js'
import type { JobState, TaskState, WorkerKey } from './jobState.js'
import { HeldJobs } from './heldJobs.js'
import { EvacuatedDomains } from './evacuatedDomains.js'
import type { LearnedRecord } from './learnedRecord.js'
import { listOrders } from './orderList.js'
import { ObjectiveOrder } from './objectiveOrder.js'
import { GraphPass } from './graphPass.js'
import type { PlannerLog } from './plannerLog.js'
import type { PlannerPolicy } from './plannerPolicy.js'
import type { PlannerTimes } from './plannerTimes.js'
import { RunTracker } from './runTracker.js'
import { RunTimeEstimator } from './runTimeEstimator.js'
import { RunTimeMeter } from './runTimeMeter.js'
import type { SpeedSource } from './speedSource.js'
import { HEAD_PART } from './recordPart.js'
import { StartForecast } from './startForecast.js'
import type { TaskName } from './taskName.js'
import { listWaitingSteps } from './waitingStep.js'
import type { WaitingOrder } from './waitingStep.js'
import { WorkerRegistry } from './workerRegistry.js'
import type { WorkerOrders, WorkerReport } from './workerReport.js'
import type { WorkerState } from './workerState.js'
import { WorkerHealthTracker } from './workerHealthTracker.js'
import { WorkerSpeeds } from './workerSpeeds.js'

/** Settings and dependencies of {@link GraphPlanner}. */
export interface GraphPlannerOptions {
  readonly times: PlannerTimes
  readonly log: PlannerLog
  /** Returns the time of day in milliseconds since 1970. */
  readonly getWallTime: () => number
  /** Creates the order of waiting steps; {@link ObjectiveOrder} when absent. */
  readonly createOrder?: (runTimes: RunTimeEstimator) => WaitingOrder
  /** Speeds of the workers, on which decisions rest; those that are learned from progress when absent. */
  readonly speeds?: SpeedSource
}

/** A job whose state has to be stored. */
export interface ChangedJob {
  readonly jobId: string
  readonly version: number
  readonly phase: JobPhase
  readonly queue: string
  readonly organisation: string
  /** Names of the parts of its progress that have changed: the head first, then the one with the oldest change. */
  readonly parts: readonly string[]
  /** Names of parts that the job does not have any more. */
  readonly droppedParts: readonly string[]
}

/** Maximum number of steps that the log line on a new job describes. */
const MAX_LOGGED_STEPS = 16

export class GraphPlanner {
  private readonly _options: GraphPlannerOptions
  private readonly _jobs = new Map<string, JobState>()
  private readonly _workerHealth = new WorkerHealthTracker()
  private readonly _runTimes = new RunTimeEstimator()
  private readonly _workerSpeeds: WorkerSpeeds
  private readonly _runTracker: RunTracker
  private readonly _registry: WorkerRegistry
  private readonly _pass: GraphPass
  private readonly _order: WaitingOrder
  private readonly _evacuations = new EvacuatedDomains()
  private readonly _heldJobs: HeldJobs
  private _policy: PlannerPolicy = { queues: [], guarantees: [] }
  private _leadershipConfirmedAt = -Infinity
  private _checkpointsMarkedAt = -Infinity

  constructor (options: GraphPlannerOptions) {
    const { log, times, getWallTime } = options
    this._options = options
    this._heldJobs = new HeldJobs(log)
    this._workerSpeeds = new WorkerSpeeds({ log, getWorker: key => this._registry.getWorker(key) })
    const runTimeMeter = new RunTimeMeter({ speeds: this.speeds, remoteFactor: times.remoteFactor, getRack: run => this._registry.getWorker(run.worker)?.report?.rack })
    this._runTracker = new RunTracker({ log, workerHealth: this._workerHealth, runTimes: this._runTimes, runTimeMeter, getWallTime, getWorker: run => this._registry.getWorker(run.worker) })
    this._registry = new WorkerRegistry({ log, times, runTracker: this._runTracker, workerHealth: this._workerHealth, workerSpeeds: this._workerSpeeds, findTask: name => this._findTask(name) })
    const classShares = new ClassShares({ runTimes: this._runTimes, getWallTime, listJobs: () => this._jobs.values() })
    this._order = options.createOrder?.(this._runTimes) ?? new ObjectiveOrder({ runTimes: this._runTimes, getWallTime })
    this._pass = new GraphPass({ registry: this._registry, runTracker: this._runTracker, workerHealth: this._workerHealth, runTimes: this._runTimes, evacuations: this._evacuations, speeds: this.speeds, classShares, order: this._order, times, log, getWallTime })
  }

  /** Number of jobs that have not ended. */
  get activeCount (): number {
    let count = 0
    for (const job of this._jobs.values()) if (isActive(job)) count++
    return count
  }

  /** Speeds of the workers, on which decisions rest. */
  get speeds (): SpeedSource {
    return this._options.speeds ?? this._workerSpeeds
  }

  /** Returns what this planner has learned of workers and queues, as the next planner takes it over. */
  encodeLearned (now: number): LearnedRecord {
    return { speeds: this._workerSpeeds.encode(now), queues: this._runTimes.encode() }
  }

  /** Takes over what an earlier planner has learned, as far as this one has learned nothing itself. */
  restoreLearned (record: LearnedRecord, now: number): void {
    this._workerSpeeds.restore(record.speeds, now)
    this._runTimes.restore(record.queues)
  }

  getJob (jobId: string): JobState | undefined {
    return this._jobs.get(jobId)
  }

  setPolicy (policy: PlannerPolicy): void {
    this._policy = policy
  }

  /** Sets the failure domains in which no task may start. From now on no start is listed for their workers; the next pass stops those that may be on their way. */
  setEvacuations (domains: ReadonlySet<string>): void {
    this._evacuations.replace(domains)
  }

  /** Records that this process was confirmed as the leader at `confirmedAt`, in milliseconds of the planner's clock. */
  recordLeadershipConfirmed (confirmedAt: number): void {
    this._leadershipConfirmedAt = Math.max(this._leadershipConfirmedAt, confirmedAt)
  }

  /** Adds a job; `progress` is its stored record, if there is one. Does nothing for a known job. */
  addJob (graph: JobGraph, progress: ProgressRecord | undefined, now: number): void {
    if (this._jobs.has(graph.id)) return
    const job = restoreJob(graph, progress, now)
    this._jobs.set(graph.id, job)
    this._options.log.note('job taken up', { job: graph.id, queue: graph.queue.name, organisation: graph.organisation, phase: job.phase, priority: graph.queue.priority, steps: graph.steps.slice(0, MAX_LOGGED_STEPS).map(describeStep), stepCount: graph.steps.length, ageMs: this._options.getWallTime() - graph.acceptedAt })
    this._heldJobs.add(job, now)
    for (const task of listTasks(job)) for (const run of [...task.runs]) this._registry.adoptRun(run, now)
    if (isFinalPhase(job.phase)) for (const task of listTasks(job)) for (const run of task.runs) this._runTracker.stop(run, `job ${job.phase}`, now)
    else this._runTimes.learnCoreSeconds(graph.queue.name, computeDeclaredCoreSeconds(job.graph.steps))
  }

  /** Cancels a job; does nothing for a job that has ended. */
  cancelJob (jobId: string, now: number): void {
    const job = this._jobs.get(jobId)
    if (job !== undefined) this._runTracker.endJob(job, JobPhase.cancelled, 'cancelled by its client', now)
  }

  /** Applies an agent's report on a worker; returns false when the reported incarnation of the worker has ended. */
  acceptReport (report: WorkerReport, now: number): boolean {
    return this._registry.acceptReport(report, now) !== undefined
  }

  /**
   * Creates the occurrences of timed jobs that are due, declares runs at silent workers lost, marks new checkpoints for storing, and then
   * runs a scheduler pass. Returns false if the pass has left work to the next one, which should come soon.
   */
  plan (now: number): boolean {
    this._heldJobs.update(this._jobs.values(), this._options.getWallTime(), now)
    this._registry.expireSilentWorkers(now)
    this._markNewCheckpoints(now)
    this._pass.run([...this._jobs.values()].filter(isActive), this._policy, now)
    return !this._pass.isIncomplete
  }

  /** Creates a forecast of the starts of jobs that arrive now. */
  createStartForecast (now: number): StartForecast {
    const { getWallTime, times } = this._options
    const waiting = [...this._jobs.values()].flatMap(job => listWaitingSteps(job, now))
    return new StartForecast({ ...this._pass.describeFleet(now), waiting, now, wallTime: getWallTime(), order: this._order, runTimes: this._runTimes, stopGraceMs: times.stopGraceMs })
  }

  /** Lists the shapes of jobs that would be worth nothing if they arrived now. */
  createAdmissionForecast (now: number): AdmissionForecast {
    return createAdmissionForecast({ forecast: this.createStartForecast(now), jobs: [...this._jobs.values()].filter(isActive), runTimes: this._runTimes })
  }

  /** Encodes a part of a job's progress as its stored record; undefined if the job or the part is not known any more. */
  encodePart (jobId: string, part: string): string | undefined {
    const job = this._jobs.get(jobId)
    return job?.parts.has(part) === true ? encodePart(job, part) : undefined
  }

  /** Lists the jobs whose state has changed since it was last stored. */
  listChangedJobs (): ChangedJob[] {
    const dirty: ChangedJob[] = []
    for (const job of this._jobs.values()) {
      if (job.version <= job.durableVersion) continue
      const { id, queue, organisation } = job.graph
      dirty.push({ jobId: id, version: job.version, phase: job.phase, queue: queue.name, organisation, parts: listChangedParts(job), droppedParts: [...job.droppedParts] })
    }
    return dirty
  }

  /** Records that parts of a job's progress, all if absent, are stored as they were in a version of it, and that dropped parts are removed. */
  recordJobStored (jobId: string, version: number, parts?: readonly string[], removedParts: readonly string[] = []): void {
    const job = this._jobs.get(jobId)
    if (job === undefined) return
    for (const name of parts ?? job.parts.keys()) job.parts.get(name)?.recordStored(version)
    for (const name of removedParts) job.droppedParts.delete(name)
    updateDurableVersion(job)
  }

  /**
   * True when there are starts, stops or speed changes for a worker that are not yet reflected in its last report. Starts count only if
   * `mayStart` is true.
   */
  hasOrders (key: WorkerKey, mayStart = true): boolean {
    const worker = this._registry.getWorker(key)
    if (worker === undefined) return false
    const { starts, stops, paces } = this._listOrders(worker, false, mayStart)
    return starts.length + stops.length + paces.length > 0
  }

  /**
   * Returns the orders for a worker that are not yet reflected in its last report; undefined for an unknown incarnation. `mayGrant` permits
   * the agent to extend the lease of a reachable worker. The answer contains starts only if `mayStart` is true.
   */
  answerReport (key: WorkerKey, receivedAt: number, mayGrant: boolean, mayStart = true): WorkerOrders | undefined {
    const worker = this._registry.getWorker(key)
    if (worker === undefined) return undefined
    const mayExtend = mayGrant && worker.report?.isReachable === true
    if (mayExtend) this._registry.grant(worker, receivedAt)
    const orders = this._listOrders(worker, mayExtend, mayStart)
    for (const run of worker.runs) run.sentPace = run.pace
    return orders
  }

  /** Removes the ended jobs without runs whose end is stored and whose retention time is over; returns their ids. */
  removeExpiredJobs (now: number): string[] {
    const removed: string[] = []
    for (const [jobId, job] of this._jobs) {
      const isOld = job.endedAt !== undefined && this._options.getWallTime() - job.endedAt > this._options.times.retentionMs && now - job.addedAt > this._options.times.retentionMs
      if (!isOld || job.version > job.durableVersion || job.runCount > 0) continue
      this._jobs.delete(jobId)
      removed.push(jobId)
    }
    return removed
  }

  private _listOrders (worker: WorkerState, mayExtend: boolean, mayStart: boolean): WorkerOrders {
    return listOrders(worker, { mayExtend, mayStart: mayStart && !this._evacuations.hasWorker(worker), leadershipConfirmedAt: this._leadershipConfirmedAt })
  }

  /** Marks all jobs with new checkpoints for storing, at a fixed interval, so that little work is lost when planner and workers fail together. */
  private _markNewCheckpoints (now: number): void {
    if (now - this._checkpointsMarkedAt < this._options.times.checkpointMs) return
    this._checkpointsMarkedAt = now
    for (const job of this._jobs.values()) if (job.hasNewCheckpoint && isActive(job)) markCheckpoints(job)
  }

  private _findTask (name: TaskName): TaskState | undefined {
    return this._jobs.get(name.jobId)?.occurrences.get(name.occurrence)?.[name.step]?.tasks[name.index]
  }
}

/** Lists the changed parts of a job's progress: the head first, which tells the others' occurrences, then by their first change that is not stored. */
function listChangedParts (job: JobState): string[] {
  const changed = [...job.parts.values()].filter(({ changedSince }) => changedSince !== undefined)
  const getOrder = ({ name, changedSince = 0 }: (typeof changed)[number]): number => name === HEAD_PART ? -1 : changedSince
  return changed.sort((a, b) => getOrder(a) - getOrder(b)).map(({ name }) => name)
}

/** Marks the parts of a job with new checkpoints as changed. */
function markCheckpoints (job: JobState): void {
  job.hasNewCheckpoint = false
  for (const part of job.parts.values()) if (part.hasNewCheckpoint) markPartChanged(job, part)
}

/** Describes a step for the log: number of tasks, needs of one task, declared run time and placement constraints. */
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
