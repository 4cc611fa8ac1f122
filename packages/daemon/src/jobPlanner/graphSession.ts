/**
 * One leader's term as the planner of job graphs: loads the jobs from the store, passes them to the planner, stores the planner's decisions
 * and answers the agents. The session ends when leadership is lost; the next leader starts a session of its own from the stored records.
 */
import { PrefixWatcher } from '@dragonflylever/adapters'
import type { Store, StoredValue, WatchEvent } from '@dragonflylever/adapters'
import { GraphPlanner, isFinalPhase } from '@dragonflylever/core/graphs/index'
import type { ChangedJob, JobGraph, PlannerTimes, PolicyIndex } from '@dragonflylever/core/graphs/index'
import type { PeerRpc, RpcParams, RpcResultValue } from '@dragonflylever/protocol'
import { SlicedTasks } from '@dragonflylever/runtime'
import type { ClockReading, Logger, Metrics } from '@dragonflylever/runtime'

import { AdmissionPublisher } from './admissionPublisher.js'
import { EvacuationWatcher } from './evacuationWatcher.js'
import type { EvacuationSettings } from './evacuationWatcher.js'
import { FenceTable } from './fenceTable.js'
import { ReportLongPoll } from './reportLongPoll.js'
import { LearnedStore } from './learnedStore.js'
import { createQueuedJobState, decodeJobState } from './graphKeys.js'
import type { GraphKeys, JobStateRecord } from './graphKeys.js'
import { decodeJobSpec } from './jobSpecRecord.js'
import type { BatchEntry } from './progressBatches.js'
import { announcePlanner } from './plannerAnnouncement.js'
import { ProgressWriter } from './progressWriter.js'
import { StoredProgress } from './storedProgress.js'

/** Maximum time between scheduler passes, in milliseconds, for timeouts and other changes that no report triggers. */
const PASS_INTERVAL_MS = 200
/** Delay of a scheduler pass after a report or a new job, in milliseconds, so that others that arrive meanwhile share the pass. */
const PASS_DELAY_MS = 4
/** Delay of the next scheduler pass after one that has left work out, in milliseconds. */
const INCOMPLETE_PASS_DELAY_MS = 50
/** A scheduler pass is delayed by at least this multiple of the duration of the last pass, so that there is time to accept reports under load. */
const PASS_PAUSE_FACTOR = 2
const LOAD_RETRY_MS = 150
const REMOVE_INTERVAL_MS = 5_000
/**
 * Minimum time for which the state of an ended job is kept, in milliseconds, counted from the acceptance of the job. Clients can read the
 * state, and the job id is not reused, during this time; two minutes are required.
 */
const STATE_RETENTION_MS = 60 * 60_000
/**
 * How long the state of a job is kept after its records have been removed, in milliseconds: a list of the jobs that was read before may arrive until then, and a listed job
 * without a state would be taken for a new one. A list call ends within 1.3 s.
 */
const STATE_AFTER_RECORDS_MS = 30_000
/** Maximum number of job states removed in one transaction; below the store's limit of keys per transaction. */
const STATES_PER_REMOVAL = 30
/** Maximum number of submission fences removed at each interval, one transaction each. */
const FENCES_PER_REMOVAL = 25
/** Times at which the planner sends its address to agents that have not reported yet, in milliseconds after the start of the session. */
const ANNOUNCE_DELAYS_MS = [400, 1_200, 3_000, 6_000]

/** Dependencies of {@link GraphSession}. */
export interface GraphSessionDependencies {
  readonly store: Store
  readonly keys: GraphKeys
  readonly leaderKey: string
  readonly epoch: number
  /** Control address of this process. */
  readonly address: string
  readonly peers: PeerRpc
  readonly logger: Logger
  readonly metrics: Metrics
  readonly times: PlannerTimes
  /** Where operators request evacuations of failure domains; absent if they can't. */
  readonly evacuations?: EvacuationSettings | undefined
  readonly mayGrant: () => boolean
  readonly getPolicy: () => PolicyIndex | undefined
  /** True to publish the admission forecast; false when absent. */
  readonly isAdmissionOn?: boolean
  readonly onLeadershipConfirmed: (callStartedAt: ClockReading) => void
  /** Called with the reason when the session must end because this process must not act as the planner any longer. */
  readonly onFenced: (reason: string) => void
}

export class GraphSession {
  private readonly _dependencies: GraphSessionDependencies
  private readonly _planner: GraphPlanner
  private readonly _reports: ReportLongPoll
  private readonly _writer: ProgressWriter
  private readonly _evacuations: EvacuationWatcher | undefined
  private readonly _learned: LearnedStore
  private readonly _storedProgress: StoredProgress
  private readonly _states = new Map<string, JobStateRecord>()
  /** Ended jobs that the planner no longer holds, and whose records the store has not confirmed to be removed. */
  private readonly _jobsToRemove = new Set<string>()
  /** When the store confirmed the removal of the records of jobs whose states it still holds, on the monotonic clock, by job id. */
  private readonly _recordsRemovedAt = new Map<string, number>()
  private readonly _fences = new FenceTable()
  private _isRemoving = false
  private readonly _timers: NodeJS.Timeout[] = []
  private _inputWatcher: PrefixWatcher | undefined
  private readonly _inputTasks = new SlicedTasks()
  private _admission: AdmissionPublisher | undefined
  private _passTimer: NodeJS.Timeout | undefined
  private _lastPassMs = 0
  private _isLoaded = false
  private _isClosed = false

  constructor (dependencies: GraphSessionDependencies) {
    this._dependencies = dependencies
    const { store, keys, leaderKey, epoch, logger, onLeadershipConfirmed, onFenced } = dependencies
    this._planner = new GraphPlanner({ times: dependencies.times, getWallTime: () => Date.now(), log: { note: (event, fields) => this._recordDecision(event, fields) } })
    this._reports = new ReportLongPoll({ planner: this._planner, epoch, mayGrant: dependencies.mayGrant, mayStart: () => this._evacuations?.isFresh ?? true, onReports: () => this._schedulePass() })
    this._evacuations = dependencies.evacuations === undefined ? undefined : this._createEvacuationWatcher(dependencies.evacuations)
    this._learned = new LearnedStore({ store, key: keys.learned, leaderKey, epoch, planner: this._planner, logger })
    this._storedProgress = new StoredProgress(keys)
    this._writer = new ProgressWriter({
      store,
      keys,
      leaderKey,
      epoch,
      logger,
      metrics: dependencies.metrics,
      listChangedJobs: () => this._planner.listChangedJobs(),
      encodePart: (jobId, part) => this._planner.encodePart(jobId, part),
      makeState: job => this._updateJobState(job),
      onDurable: entries => this._recordStored(entries),
      onLeadershipConfirmed,
      onFenced
    })
  }

  get planner (): GraphPlanner {
    return this._planner
  }

  /** Loads the jobs and the evacuations of failure domains from the store and starts the scheduler passes. */
  async open (): Promise<void> {
    void this._learned.load()
    await Promise.all([this._loadRecords(), this._evacuations?.open()])
    if (this._isClosed) return
    const { store, keys } = this._dependencies
    this._inputWatcher = new PrefixWatcher({
      store,
      prefix: keys.inputPrefix,
      onList: values => this._applyInputRecords(values),
      onEvents: events => this._applyInputRecords(listPuts(events))
    })
    await this._inputWatcher.open()
    if (this._dependencies.isAdmissionOn === true) this._admission = new AdmissionPublisher({ ...this._dependencies, createForecast: () => this._planner.createAdmissionForecast(performance.now()) })
    this._timers.push(setInterval(() => this._schedulePass(), PASS_INTERVAL_MS))
    this._timers.push(setInterval(() => { void this._removeExpiredJobs() }, REMOVE_INTERVAL_MS))
    for (const delayMs of ANNOUNCE_DELAYS_MS) this._timers.push(setTimeout(() => { void announcePlanner(this._dependencies, agent => this._reports.hasAgent(agent)) }, delayMs))
  }

  /** Accepts an agent's reports on its workers. Resolves with the orders for the workers as soon as there are any, or after `waitMs`. */
  async acceptReports (params: RpcParams<'workerReports'>): Promise<RpcResultValue<'workerReports'>> {
    if (!this._isLoaded || this._isClosed) return { orders: [] }
    return this._reports.acceptReports(params)
  }

  close (): void {
    this._isClosed = true
    for (const timer of this._timers) clearInterval(timer)
    clearTimeout(this._passTimer)
    this._inputWatcher?.close()
    this._inputTasks.close()
    this._evacuations?.close()
    this._admission?.close()
    this._learned.close()
    this._writer.close()
    this._reports.close()
  }

  private _createEvacuationWatcher (settings: EvacuationSettings): EvacuationWatcher {
    const { store, logger, metrics } = this._dependencies
    return new EvacuationWatcher({
      ...settings,
      store,
      logger,
      metrics,
      onChange: domains => {
        this._planner.setEvacuations(domains)
        this._schedulePass()
      }
    })
  }

  private _recordDecision (event: string, fields: Readonly<Record<string, unknown>>): void {
    this._dependencies.logger.info(fields, event)
    this._dependencies.metrics.count('planner_decisions', 1, { event })
    if (event === 'run begun' && typeof fields['afterMs'] === 'number') this._dependencies.metrics.time('start_ms', fields['afterMs'])
  }

  private async _loadRecords (): Promise<void> {
    const { store, keys, logger } = this._dependencies
    while (!this._isClosed) {
      const records = await store.list(keys.progress)
      const states = await store.list(keys.states)
      if (records.kind === 'ok' && states.kind === 'ok') {
        for (const value of records.values) this._storedProgress.add(value)
        for (const value of states.values) this._recordStoredState(value.key.slice(keys.states.length), value)
        logger.info({ epoch: this._dependencies.epoch, records: records.values.length, states: states.values.length }, 'loaded progress records and job states')
        return
      }
      await new Promise(resolve => setTimeout(resolve, LOAD_RETRY_MS))
    }
  }

  private _recordStoredState (jobId: string, value: StoredValue): void {
    const state = decodeJobState(value.value)
    if (state === undefined) return
    this._recordState(jobId, state)
  }

  private _recordState (jobId: string, state: JobStateRecord): void {
    this._states.set(jobId, state)
    for (const [part, revision] of this._storedProgress.listRevisions(jobId)) this._writer.recordStoredProgress(jobId, revision, state.phase, part)
  }

  /** Applies records that entries have written. There may be any number of them, so they are applied in slices of time. */
  private _applyInputRecords (values: readonly StoredValue[]): void {
    const cancelled: string[] = []
    this._inputTasks.add(values.map(value => () => this._applyInputRecord(value, cancelled)))
    this._inputTasks.add([() => {
      for (const jobId of cancelled) this._planner.cancelJob(jobId, performance.now())
      this._isLoaded = true
      this._schedulePass()
    }])
  }

  private _applyInputRecord (value: StoredValue, cancelled: string[]): void {
    const now = performance.now()
    const name = this._dependencies.keys.parseInputKey(value.key)
    if (name?.kind === 'fence') this._fences.recordFence({ jobId: name.jobId, modRevision: value.modRevision }, now)
    else if (name?.kind === 'cancel') cancelled.push(name.jobId)
    else if (name?.kind === 'spec') this._addJob(name.jobId, value, now)
  }

  private _addJob (jobId: string, value: StoredValue, now: number): void {
    const graph = decodeJobSpec(value.value)
    if (graph?.id !== jobId) {
      this._dependencies.logger.error({ job: jobId, revision: value.modRevision }, 'job spec is unreadable; skipping the job')
      return
    }
    if (this._isEnded(jobId)) {
      this._jobsToRemove.add(jobId)
      return
    }
    if (!this._states.has(jobId)) this._recordState(jobId, createQueuedJobState(graph))
    this._addJobWithProgress(graph, now)
  }

  /**
   * True if a listed job has ended and the planner need not know it any more: it has forgotten the job, or there is no progress record with runs that may
   * still have to be stopped.
   */
  private _isEnded (jobId: string): boolean {
    const state = this._states.get(jobId)
    return state !== undefined && isFinalPhase(state.phase) && this._planner.getJob(jobId) === undefined && !this._storedProgress.has(jobId)
  }

  /**
   * Adds a job to the planner. A job with an unreadable progress record is left alone, since its runs are unknown and must not start again; its record is kept in
   * mind, since the job is listed again whenever the watch ends.
   */
  private _addJobWithProgress (graph: JobGraph, now: number): void {
    const stored = this._storedProgress.read(graph)
    if (stored.kind === 'unreadable') {
      this._dependencies.logger.error({ job: graph.id, revision: stored.revision }, 'progress record of a job is unreadable; leaving the job alone')
      return
    }
    this._planner.addJob(graph, stored.kind === 'read' ? stored.progress : undefined, now)
    this._storedProgress.delete(graph.id)
  }

  private _schedulePass (delayMs = PASS_DELAY_MS): void {
    if (this._isClosed || !this._isLoaded) return
    this._passTimer ??= setTimeout(() => {
      this._passTimer = undefined
      this._runPass()
    }, Math.max(delayMs, this._lastPassMs * PASS_PAUSE_FACTOR))
  }

  private _runPass (): void {
    const startedAt = performance.now()
    const policy = this._dependencies.getPolicy()?.policy
    if (policy !== undefined) {
      const guarantees = policy.organisations.map(organisation => ({ organisation: organisation.name, accelerators: organisation.guaranteedAccelerators }))
      this._planner.setPolicy({ queues: policy.queues, guarantees })
    }
    const isComplete = this._planner.plan(startedAt)
    this._writer.flush()
    this._reports.answerRequestsWithOrders()
    this._lastPassMs = performance.now() - startedAt
    this._dependencies.metrics.time('plan_ms', this._lastPassMs)
    this._dependencies.metrics.gauge('jobs_active', this._planner.activeCount)
    if (!isComplete) this._schedulePass(INCOMPLETE_PASS_DELAY_MS)
  }

  private _updateJobState (job: ChangedJob): JobStateRecord | undefined {
    const known = this._states.get(job.jobId)
    if (known === undefined) return undefined
    const state = { ...known, phase: job.phase }
    this._states.set(job.jobId, state)
    return state
  }

  private _recordStored (entries: readonly BatchEntry[]): void {
    for (const { job, records, removedParts } of entries) this._planner.recordJobStored(job.jobId, job.version, [...records.keys()], removedParts)
    this._reports.answerRequestsWithOrders()
  }

  private async _removeExpiredJobs (): Promise<void> {
    if (this._isRemoving) return
    this._isRemoving = true
    for (const jobId of this._planner.removeExpiredJobs(performance.now())) this._jobsToRemove.add(jobId)
    for (const jobId of await this._writer.remove([...this._jobsToRemove])) {
      this._jobsToRemove.delete(jobId)
      this._recordsRemovedAt.set(jobId, performance.now())
    }
    await this._removeExpiredStates()
    for (const fence of this._fences.listExpired(performance.now(), FENCES_PER_REMOVAL)) if (await this._writer.removeFence(fence)) this._fences.forgetFence(fence)
    this._isRemoving = false
  }

  private async _removeExpiredStates (): Promise<void> {
    const expired = this._listExpiredStates()
    if (expired.length === 0 || !await this._writer.removeStates(expired)) return
    for (const jobId of expired) {
      this._states.delete(jobId)
      this._recordsRemovedAt.delete(jobId)
    }
  }

  private _listExpiredStates (): string[] {
    const expired: string[] = []
    for (const [jobId, state] of this._states) {
      if (expired.length >= STATES_PER_REMOVAL) break
      const isOld = isFinalPhase(state.phase) && Date.now() - state.acceptedAt > STATE_RETENTION_MS
      // Without its state, a job whose records are still there, or are listed late, would look like a new one.
      const isUnlisted = !this._jobsToRemove.has(jobId) && performance.now() - (this._recordsRemovedAt.get(jobId) ?? -Infinity) > STATE_AFTER_RECORDS_MS
      if (isOld && isUnlisted && this._planner.getJob(jobId) === undefined) expired.push(jobId)
    }
    return expired
  }
}

function listPuts (events: readonly WatchEvent[]): StoredValue[] {
  return events.flatMap(event => event.kind === 'put' ? [event.value] : [])
}
