/**
 * Stores the progress records and states of the jobs that the planner has changed, with one transaction in flight at a time. Each
 * transaction is conditional on the leader's key and on the revision of each record, so that neither a former leader nor a delayed write of
 * the current leader can overwrite a newer record.
 */
import { MAX_KEYS_PER_TRANSACTION } from '@dragonflylever/adapters'
import type { Store, StoredValue } from '@dragonflylever/adapters'
import type { ChangedJob } from '@dragonflylever/core/graphs/index'
import { readClocks } from '@dragonflylever/runtime'
import type { ClockReading, Logger } from '@dragonflylever/runtime'

import type { KnownFence } from './fenceTable.js'
import type { GraphKeys, JobStateRecord } from './graphKeys.js'

/** Maximum number of keys that a job adds to a transaction: one precondition and two puts. */
const KEYS_PER_JOB = 3
/** Maximum total size of the progress records in one transaction, in bytes; well below the largest value that the store accepts. */
const MAX_BATCH_BYTES = 256 * 1024
/** Delay before a transaction that failed or whose outcome is unknown is retried, in milliseconds. */
const RETRY_MS = 60

/** Dependencies of {@link ProgressWriter}. */
export interface ProgressWriterDependencies {
  readonly store: Store
  readonly keys: GraphKeys
  readonly leaderKey: string
  readonly epoch: number
  readonly logger: Logger
  readonly listChangedJobs: () => readonly ChangedJob[]
  /** Builds the job's state as shown to clients; returns undefined if the job has none. */
  readonly makeState: (job: ChangedJob) => JobStateRecord | undefined
  /** Called after the progress of the jobs has been stored. */
  readonly onDurable: (jobs: readonly ChangedJob[]) => void
  /**
   * Called after a successful transaction, with the time at which it was started. Its success confirms leadership, since it depends on
   * the leader's key.
   */
  readonly onLeadershipConfirmed: (callStartedAt: ClockReading) => void
  /** Called with the reason when this process must not act as the planner any longer. */
  readonly onFenced: (reason: string) => void
}

export class ProgressWriter {
  private readonly _dependencies: ProgressWriterDependencies
  /** Revision of the stored progress record of each job, by job id; 0 if there is no record. */
  private readonly _storedRevisions = new Map<string, number>()
  private readonly _storedPhases = new Map<string, string>()
  /** Jobs whose progress the store may hold in a version that this process wrote without getting an answer. */
  private readonly _undecidedJobs = new Set<string>()
  private _writeLoop: Promise<void> | undefined
  private _isClosed = false
  private _isFailing = false

  constructor (dependencies: ProgressWriterDependencies) {
    this._dependencies = dependencies
  }

  /** Records the revision of a job's stored progress record, and the phase in its stored state, if there is one. */
  recordStoredProgress (jobId: string, revision: number, phase: string | undefined): void {
    this._storedRevisions.set(jobId, revision)
    if (phase !== undefined) this._storedPhases.set(jobId, phase)
  }

  /** Starts storing the changed jobs, unless a write loop is already running. */
  flush (): void {
    if (!this._isClosed) this._writeLoop ??= this._writeChangedJobs().finally(() => { this._writeLoop = undefined })
  }

  close (): void {
    this._isClosed = true
  }

  /**
   * Removes the specs, progress records, cancellation requests and fences of jobs; their states are kept. Resolves with the ids of the jobs for which the store
   * confirmed the removal.
   */
  async remove (jobIds: readonly string[]): Promise<string[]> {
    const { store, keys, leaderKey, epoch } = this._dependencies
    const removed: string[] = []
    for (const jobId of jobIds) {
      this._storedRevisions.delete(jobId)
      this._storedPhases.delete(jobId)
      this._undecidedJobs.delete(jobId)
      const removes = [keys.getSpecKey(jobId), keys.getProgressKey(jobId), keys.getCancelKey(jobId), keys.getFenceKey(jobId)]
      const outcome = await store.transact({ expect: [{ key: leaderKey, modRevision: epoch }], puts: [], removes })
      if (outcome.kind === 'ok') removed.push(jobId)
      else this._dependencies.logger.warn({ job: jobId, outcome: outcome.kind }, 'could not remove the records of an expired job; will retry')
    }
    return removed
  }

  /** Removes the states of jobs, so that the job ids can be used again. Resolves with false if the store did not confirm the removal. */
  async removeStates (jobIds: readonly string[]): Promise<boolean> {
    const { store, keys, leaderKey, epoch, logger } = this._dependencies
    const outcome = await store.transact({ expect: [{ key: leaderKey, modRevision: epoch }], puts: [], removes: jobIds.map(jobId => keys.getStateKey(jobId)) })
    if (outcome.kind !== 'ok') logger.warn({ jobs: jobIds.length, outcome: outcome.kind }, 'could not remove expired job states; will retry')
    return outcome.kind === 'ok'
  }

  /**
   * Removes the fence of a job without a spec, together with the state of a job that was stored as cancelled. Resolves with true if the store holds that revision of the fence no longer, or
   * the job has been stored since and keeps its fence until its records are removed.
   */
  async removeFence ({ jobId, modRevision }: KnownFence): Promise<boolean> {
    const { store, keys, leaderKey, epoch, logger } = this._dependencies
    const [fenceKey, specKey] = [keys.getFenceKey(jobId), keys.getSpecKey(jobId)]
    const outcome = await store.transact({
      expect: [{ key: leaderKey, modRevision: epoch }, { key: fenceKey, modRevision }, { key: specKey, modRevision: 0 }],
      puts: [],
      removes: [fenceKey, keys.getStateKey(jobId)]
    })
    const isDecided = outcome.kind === 'ok' || outcome.kind === 'conflict'
    logger[isDecided ? 'debug' : 'warn']({ job: jobId, revision: modRevision, outcome: outcome.kind }, isDecided ? 'submission fence expired' : 'could not remove an expired submission fence; will retry')
    return isDecided
  }

  private async _writeChangedJobs (): Promise<void> {
    // Wait until the current synchronous code has finished, so that all its changes share one transaction.
    await Promise.resolve()
    while (!this._isClosed) {
      const batch = selectBatch(this._dependencies.listChangedJobs())
      if (batch.length === 0) return
      if (!await this._writeBatch(batch)) await new Promise(resolve => setTimeout(resolve, RETRY_MS))
    }
  }

  /** Stores progress and states of the jobs in one transaction. Resolves with false if the write loop must pause before the next attempt. */
  private async _writeBatch (batch: readonly ChangedJob[]): Promise<boolean> {
    const { store, keys, leaderKey, epoch, logger } = this._dependencies
    const expect = [{ key: leaderKey, modRevision: epoch }, ...batch.map(job => ({ key: keys.getProgressKey(job.jobId), modRevision: this._storedRevisions.get(job.jobId) ?? 0 }))]
    const states = batch.filter(job => this._storedPhases.get(job.jobId) !== job.phase)
    const statePuts = states.flatMap(job => {
      const state = this._dependencies.makeState(job)
      return state === undefined ? [] : [{ key: keys.getStateKey(job.jobId), value: JSON.stringify(state) }]
    })
    const puts = [...batch.map(job => ({ key: keys.getProgressKey(job.jobId), value: job.record })), ...statePuts]
    const callStartedAt = readClocks()
    const outcome = await store.transact({ expect, puts, removes: [] })
    if (outcome.kind === 'ok') return this._recordStored(batch, outcome.modRevision, callStartedAt)
    if (outcome.kind === 'conflict') {
      const modRevision = this._findOwnWrite(batch, outcome.current)
      return modRevision === undefined ? this._resolveConflict(batch, outcome.current) : this._recordStored(batch, modRevision, callStartedAt)
    }
    if (outcome.kind === 'ambiguous') for (const job of batch) this._undecidedJobs.add(job.jobId)
    this._recordStoreHealth(false, outcome.message)
    logger.debug({ jobs: batch.length, outcome: outcome.kind }, 'could not store job progress; will retry')
    return false
  }

  private _recordStored (batch: readonly ChangedJob[], modRevision: number, callStartedAt: ClockReading): true {
    for (const job of batch) {
      this.recordStoredProgress(job.jobId, modRevision, job.phase)
      this._undecidedJobs.delete(job.jobId)
    }
    this._recordStoreHealth(true, '')
    this._dependencies.onLeadershipConfirmed(callStartedAt)
    this._dependencies.onDurable(batch)
    return true
  }

  /**
   * Returns the revision of a conflicting transaction if the store has carried it out: a call can have several attempts, and one of them may have been carried out and not answered before the
   * answered one found a conflict. Undefined if the store holds anything else.
   */
  private _findOwnWrite (batch: readonly ChangedJob[], current: readonly StoredValue[]): number | undefined {
    const { leaderKey, epoch, keys } = this._dependencies
    if (current.find(value => value.key === leaderKey)?.modRevision !== epoch) return undefined
    const stored = batch.map(job => current.find(value => value.key === keys.getProgressKey(job.jobId) && value.value === job.record))
    const modRevision = stored[0]?.modRevision
    return stored.every(value => value !== undefined && value.modRevision === modRevision) ? modRevision : undefined
  }

  /**
   * Handles a conflict. If an earlier write of this process succeeded but its answer was lost, the current revision of the record is noted, and the progress is written
   * again; returns true in that case. Otherwise leadership was lost, or the store holds progress that this process has never read: writing over it would run tasks twice, so
   * the session ends, and the next planner reads the record.
   */
  private _resolveConflict (batch: readonly ChangedJob[], current: readonly StoredValue[]): boolean {
    const { leaderKey, epoch, keys, logger } = this._dependencies
    const duty = current.find(value => value.key === leaderKey)
    if (duty?.modRevision !== epoch) {
      logger.warn({ epoch, holder: duty?.value, revision: duty?.modRevision }, 'job progress rejected because this process is no longer the leader; ending the session')
      this._endSession('the leader key in the store has changed')
      return false
    }
    const found = new Map(batch.map(job => [job.jobId, current.find(value => value.key === keys.getProgressKey(job.jobId))]))
    for (const job of batch) {
      const stored = found.get(job.jobId)
      const knownRevision = this._storedRevisions.get(job.jobId) ?? 0
      if (stored === undefined || stored.modRevision === knownRevision || this._undecidedJobs.has(job.jobId)) continue
      logger.error({ job: job.jobId, epoch, revision: stored.modRevision, knownRevision }, 'the store holds progress of a job that this planner has not read; ending the session')
      this._endSession('the store holds progress that this planner has not read')
      return false
    }
    for (const { jobId } of batch) {
      this._storedRevisions.set(jobId, found.get(jobId)?.modRevision ?? 0)
      this._storedPhases.delete(jobId)
    }
    logger.info({ jobs: batch.map(job => job.jobId) }, 'job progress conflicted with the stored revisions; retrying with those')
    return true
  }

  private _endSession (reason: string): void {
    this._isClosed = true
    this._dependencies.onFenced(reason)
  }

  private _recordStoreHealth (isStored: boolean, message: string): void {
    if (this._isFailing !== isStored) return
    this._isFailing = !isStored
    if (isStored) this._dependencies.logger.info({}, 'store accepts job progress again')
    else this._dependencies.logger.warn({ message }, 'store does not accept job progress; will retry')
  }
}

function selectBatch (changedJobs: readonly ChangedJob[]): ChangedJob[] {
  const batch: ChangedJob[] = []
  let bytes = 0
  for (const job of changedJobs) {
    const isFull = (batch.length + 1) * KEYS_PER_JOB + 1 > MAX_KEYS_PER_TRANSACTION || (batch.length > 0 && bytes + job.record.length > MAX_BATCH_BYTES)
    if (isFull) break
    batch.push(job)
    bytes += job.record.length
  }
  return batch
}
