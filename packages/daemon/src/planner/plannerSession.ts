/**
 * One leader's term as the gang planner, under one epoch. The session loads the jobs from the store and the running tasks from the agents, runs
 * scheduler passes and drives the gangs' state machines. It ends when the leadership is lost; the next leader starts a new session.
 */
import { FailureAttribution, GangPlanner, JobFailure, RunTimeEstimator, isOrphanedTask, isRenewable, recordRenewal, advanceGang } from '@dragonflylever/core'
import type { GangCommand, GangEvent, GangRecord, GangTimes, Guarantee, PlanAction, WorkerDescription } from '@dragonflylever/core'
import type { Store, StoredValue, Watch, WatchEvent } from '@dragonflylever/adapters'
import type { PeerRpc, RpcParams, RpcResultValue, TaskReportMessage } from '@dragonflylever/protocol'
import type { Logger, Metrics } from '@dragonflylever/runtime'

import { getJobsPrefix, getJobRecordKey } from '../jobs/jobRecord.js'
import type { JobRecord } from '../jobs/jobRecord.js'
import { TASK_LEASE_MS } from '../shared/taskLease.js'
import { CommandSender } from './commandSender.js'
import { explainJob } from './explainJob.js'
import type { PlannerExplanation } from './explainJob.js'
import { JobRegistry } from './jobRegistry.js'
import type { RegisteredJob } from './jobRegistry.js'
import { makeUpdatedJobRecord } from './updatedJobRecord.js'
import { NeverFitsDebouncer } from './neverFitsDebouncer.js'
import { WorkerCatalogue } from './workerCatalogue.js'

const GANG_TIMES: GangTimes = { leaseMs: TASK_LEASE_MS, marginMs: 3_000, checkpointMs: 60_000 }
const TICK_MS = 1_000
/** Delay of a scheduler pass after a change, in milliseconds; all changes within the delay share one pass. */
const PASS_DELAY_MS = 50
const WATCH_RETRY_MS = 500
/** How long the record of a job that has ended is kept in the store, in milliseconds. */
const RECORD_RETENTION_MS = 7 * 24 * 3_600_000

/** A worker as the planner knows it, with the address of its agent. */
export interface PlannedWorker extends WorkerDescription {
  /** Control address of the worker's agent. */
  readonly address: string
  readonly incarnation: string
}

/** Dependencies of {@link PlannerSession}. */
export interface PlannerSessionDependencies {
  readonly store: Store
  readonly prefix: string
  readonly peers: PeerRpc
  readonly logger: Logger
  readonly metrics: Metrics
  readonly epoch: number
  readonly address: string
  /** Returns true while this process is the leader under the session's epoch; checked before each action. */
  readonly isLeader: () => boolean
  readonly listWorkers: () => readonly PlannedWorker[]
  readonly listGuarantees: () => readonly Guarantee[]
  /** Called when a stored record or an agent shows a higher epoch, so that another process has become the leader. */
  readonly onFenced: () => void
}

export class PlannerSession {
  private readonly _dependencies: PlannerSessionDependencies
  private readonly _registry: JobRegistry
  private readonly _sender: CommandSender
  private readonly _runTimes = new RunTimeEstimator()
  private readonly _failureAttribution = new FailureAttribution()
  private readonly _planner = new GangPlanner({ runTimes: this._runTimes, failureAttribution: this._failureAttribution })
  private readonly _tickTimer: NodeJS.Timeout
  private readonly _workers = new WorkerCatalogue()
  private readonly _neverFitsDebouncer = new NeverFitsDebouncer()
  private _watch: Watch | undefined
  private _watchRetry: NodeJS.Timeout | undefined
  private _passTimer: NodeJS.Timeout | undefined
  private _retentionLease: string | undefined
  private _isClosed = false

  constructor (dependencies: PlannerSessionDependencies) {
    this._dependencies = dependencies
    this._registry = new JobRegistry(dependencies.epoch, GANG_TIMES)
    this._sender = new CommandSender({
      peers: dependencies.peers,
      epoch: dependencies.epoch,
      address: dependencies.address,
      getAgentAddress: workerId => this._workers.get(workerId)?.address,
      onReports: reports => this._acceptReports(reports),
      onFenced: dependencies.onFenced
    })
    this._tickTimer = setInterval(() => this._advanceGangs(), TICK_MS)
  }

  /** Loads the jobs from the store and starts the scheduler passes. */
  async open (): Promise<void> {
    const lease = await this._dependencies.store.grantLease(RECORD_RETENTION_MS)
    if (lease.kind === 'ok') this._retentionLease = lease.leaseId
    await this._watchJobs()
  }

  close (): void {
    this._isClosed = true
    clearInterval(this._tickTimer)
    clearTimeout(this._watchRetry)
    clearTimeout(this._passTimer)
    this._watch?.close()
    this._sender.close()
  }

  /**
   * Updates the set of workers. Tasks on workers that have disappeared or restarted count as lost; the agent of a new worker is
   * asked for the tasks there.
   */
  updateWorkers (): void {
    const { lost, joined } = this._workers.update(this._dependencies.listWorkers(), performance.now())
    for (const worker of lost) {
      for (const job of this._registry.list()) this._applyEvent(job, { kind: 'workerLost', workerId: worker.id })
    }
    for (const worker of joined) void this._sender.requestInventory(worker.id)
    this._reclaimFromLeavingWorkers()
    this._schedulePass()
  }

  /** Checkpoints and stops the checkpointable gangs on workers that shut down, so that they resume on other workers; other gangs run to their end. */
  private _reclaimFromLeavingWorkers (): void {
    for (const job of this._registry.list()) {
      const isLeaving = job.gang.placement.some(workerId => this._workers.get(workerId)?.state === 'leaving')
      if (isLeaving && job.gang.stage === 'running' && job.record.spec.isCheckpointable) this._applyEvent(job, { kind: 'reclaim', how: 'checkpoint' })
    }
  }

  /**
   * Handles an agent's request to renew the leases of its tasks. Returns the tasks whose leases are renewed, and the orphaned tasks that the agent
   * must stop.
   */
  renewTasks (params: RpcParams<'taskRenew'>): RpcResultValue<'taskRenew'> {
    if (!this._isActive() || params.epoch !== this._dependencies.epoch) return { renewed: [], orphans: [] }
    this._acceptReports(params.reports)
    const renewed: TaskReportMessage['id'][] = []
    const orphans: TaskReportMessage['id'][] = []
    for (const report of params.reports) {
      const job = this._registry.get(report.id.jobId)
      if (isOrphanedTask(job?.gang, report)) orphans.push(report.id)
      else if (job !== undefined && isRenewable(job.gang)) {
        job.gang = recordRenewal(job.gang, GANG_TIMES, performance.now())
        renewed.push(report.id)
      }
    }
    return { epoch: this._dependencies.epoch, renewed, orphans }
  }

  /** Explains why a job is waiting, or where its gang is if it is not waiting. */
  explain (jobId: string): PlannerExplanation {
    const job = this._registry.get(jobId)
    const workers = this._workers.list()
    return explainJob({ job, workers, running: this._registry.listRunning(), waiting: this._registry.listWaiting(), reservations: this._planner.listReservations() })
  }

  private _isActive (): boolean {
    return !this._isClosed && this._dependencies.isLeader()
  }

  private async _watchJobs (): Promise<void> {
    const prefix = getJobsPrefix(this._dependencies.prefix)
    const listed = await this._dependencies.store.list(prefix)
    if (!this._isActive()) return
    if (listed.kind !== 'ok') return this._scheduleWatchRetry()
    for (const value of listed.values) this._applyStoredValue(value)
    this.updateWorkers()
    this._watch = this._dependencies.store.watch(prefix, listed.storeRevision + 1, {
      onEvents: events => this._applyWatchEvents(events),
      onEnd: () => this._scheduleWatchRetry()
    })
  }

  private _scheduleWatchRetry (): void {
    if (!this._isClosed) this._watchRetry = setTimeout(() => { void this._watchJobs() }, WATCH_RETRY_MS)
  }

  private _applyWatchEvents (events: readonly WatchEvent[]): void {
    for (const event of events) if (event.kind === 'put') this._applyStoredValue(event.value)
    this._schedulePass()
  }

  private _applyStoredValue (stored: StoredValue): void {
    if (stored.key.endsWith('/cancel')) {
      const job = this._registry.cancel(stored.key.split('/').at(-2) ?? '')
      if (job !== undefined) this._applyEvent(job, { kind: 'cancel' })
      return
    }
    const job = this._registry.register(JSON.parse(stored.value) as JobRecord, stored.modRevision, performance.now())
    if (job === undefined) return
    this._dependencies.logger.info({ job: job.jobId, stage: job.gang.stage }, 'job taken up')
    if (job.isCancelled) this._applyEvent(job, { kind: 'cancel' })
  }

  private _acceptReports (reports: readonly TaskReportMessage[]): void {
    for (const report of reports) {
      const job = this._registry.get(report.id.jobId)
      if (job === undefined) continue
      if (report.id.incarnation === job.gang.incarnation) job.progress.set(report.id.task, report)
      this._applyEvent(job, { kind: 'report', report })
    }
  }

  private _advanceGangs (): void {
    if (!this._isActive()) return
    for (const job of this._registry.list()) {
      if (job.gang.stage !== 'queued' || job.gang.pending !== undefined) this._applyEvent(job, { kind: 'tick' })
      if (job.isCancelled && job.gang.stage === 'queued' && job.gang.pending === undefined) this._applyEvent(job, { kind: 'cancel' })
    }
    this._schedulePass()
  }

  private _schedulePass (): void {
    if (this._isClosed) return
    this._passTimer ??= setTimeout(() => {
      this._passTimer = undefined
      this._runPass()
    }, PASS_DELAY_MS)
  }

  private _runPass (): void {
    if (!this._isActive()) return
    const startedAt = performance.now()
    const now = Date.now()
    const workers = this._workers.list().map(worker => this._failureAttribution.isQuarantined(worker.id, now) ? { ...worker, state: 'quarantined' as const } : worker)
    const snapshot = { workers, guarantees: this._dependencies.listGuarantees(), waiting: this._registry.listWaiting(), running: this._registry.listRunning() }
    const actions = this._planner.schedule(snapshot, now)
    for (const action of this._dropUndebouncedFailures(actions)) this._performAction(action)
    this._dependencies.metrics.time('plan_ms', performance.now() - startedAt)
    this._dependencies.metrics.gauge('jobs_waiting', snapshot.waiting.length)
  }

  /**
   * Removes the actions that fail a job because it does not fit, unless the {@link NeverFitsDebouncer} confirms them. `explain` gives the reason
   * immediately.
   */
  private _dropUndebouncedFailures (actions: readonly PlanAction[]): readonly PlanAction[] {
    const neverFitMessages = new Map<string, string>()
    for (const action of actions) if (action.kind === 'fail' && action.reason === JobFailure.neverFits) neverFitMessages.set(action.jobId, action.message)
    const persistent = this._neverFitsDebouncer.update([...neverFitMessages.keys()], performance.now())
    for (const job of this._registry.list()) job.neverFitsMessage = neverFitMessages.get(job.jobId)
    return actions.filter(action => action.kind !== 'fail' || !neverFitMessages.has(action.jobId) || persistent.has(action.jobId))
  }

  private _performAction (action: PlanAction): void {
    if (action.kind === 'quarantine' || action.kind === 'reserve') return
    const job = this._registry.get(action.jobId)
    if (job === undefined) return
    this._dependencies.logger.info({ job: action.jobId, action: action.kind, detail: action }, 'scheduling decision made')
    if (action.kind === 'start') this._placeGang(job, action)
    else if (action.kind === 'fail') {
      job.record = { ...job.record, message: action.message }
      this._applyEvent(job, { kind: 'fail', reason: action.reason })
    } else this._applyEvent(job, { kind: 'reclaim', how: action.how === 'stop' ? 'stop' : 'checkpoint' })
  }

  private _placeGang (job: RegisteredJob, action: Extract<PlanAction, { kind: 'start' }>): void {
    job.progress.clear()
    this._applyEvent(job, { kind: 'place', placement: action.placement, coveredBy: action.coveredBy })
  }

  private _applyEvent (job: RegisteredJob, event: GangEvent): void {
    if (!this._isActive()) return
    const before = job.gang.stage
    const step = advanceGang(job.gang, event, GANG_TIMES, performance.now())
    job.gang = step.gang
    if (step.gang.stage !== before) this._dependencies.logger.info({ job: job.jobId, from: before, to: step.gang.stage, incarnation: step.gang.incarnation }, 'gang changed stage')
    for (const command of step.commands) this._executeCommand(job, command)
    if (job.gang.stage === 'ended') this._finishJob(job)
    if (step.gang.stage !== before) this._schedulePass()
  }

  private _executeCommand (job: RegisteredJob, command: GangCommand): void {
    switch (command.kind) {
      case 'send': return this._sender.send(command.workerId, job, command.command)
      case 'write': return void this._writeRecord(job, command.record, command.expectedRevision)
      case 'read': return void this._readBackRecord(job)
      case 'taskFailed': return void this._failureAttribution.recordFailure(command.jobId, command.workerId, Date.now())
      case 'fenced': return this._dependencies.onFenced()
    }
  }

  private async _writeRecord (job: RegisteredJob, gang: GangRecord, expectedRevision: number): Promise<void> {
    const record = makeUpdatedJobRecord(job, gang, Date.now())
    const isEnd = gang.phase.kind === 'done' || gang.phase.kind === 'failed' || gang.phase.kind === 'cancelled'
    const lease = isEnd && this._retentionLease !== undefined ? { leaseId: this._retentionLease } : {}
    const key = getJobRecordKey(this._dependencies.prefix, job.jobId)
    const outcome = await this._dependencies.store.put({ key, value: JSON.stringify(record), expect: { kind: 'revision', modRevision: expectedRevision }, ...lease })
    if (outcome.kind === 'ok') job.record = record
    const result = outcome.kind === 'ok' ? { kind: 'ok' as const, revision: outcome.modRevision } : { kind: outcome.kind === 'rejected' ? 'unavailable' as const : outcome.kind }
    this._applyEvent(job, { kind: 'written', nonce: gang.nonce, result })
  }

  private async _readBackRecord (job: RegisteredJob): Promise<void> {
    const outcome = await this._dependencies.store.get(getJobRecordKey(this._dependencies.prefix, job.jobId))
    if (outcome.kind !== 'ok' || outcome.value === undefined) return
    const record = JSON.parse(outcome.value.value) as JobRecord
    if (record.gang.nonce === job.gang.pending?.nonce) job.record = record
    this._applyEvent(job, { kind: 'readBack', record: record.gang, revision: outcome.value.modRevision })
  }

  private _finishJob (job: RegisteredJob): void {
    const { phase } = job.record.gang
    if (phase.kind === 'done') {
      const ranMs = Math.max(0, ...[...job.progress.values()].map(report => report.ranMs))
      this._runTimes.learnRunTime(job.record.spec, job.record.doneMs + ranMs)
      this._failureAttribution.recordSuccess(job.jobId, job.gang.placement)
    }
    this._dependencies.metrics.count('jobs_ended', 1, { class: job.record.spec.className, phase: phase.kind })
    this._registry.remove(job.jobId)
  }
}
