/**
 * Stores the progress records and states of the jobs that the planner has changed, with one transaction in flight at a time. Each
 * transaction is conditional on the leader's key and on the revision of each record, so that neither a former leader nor a delayed write of
 * the current leader can overwrite a newer record.
 */
import type { Store, StoredValue } from '@dragonflylever/adapters'
import { HEAD_PART } from '@dragonflylever/core/graphs/index'
import type { ChangedJob } from '@dragonflylever/core/graphs/index'
import { readClocks } from '@dragonflylever/runtime'
import type { ClockReading, Logger, Metrics } from '@dragonflylever/runtime'

import type { KnownFence } from './fenceTable.js'
import type { GraphKeys, JobStateRecord } from './graphKeys.js'
import { ProgressBatches } from './progressBatches.js'
import type { BatchEntry } from './progressBatches.js'

/** Maximum number of records that are removed in one transaction; below the store's limit of keys. */
const KEYS_PER_REMOVAL = 30
/** Delay before a transaction that failed or whose outcome is unknown is retried, in milliseconds. */
const RETRY_MS = 60

/** Dependencies of {@link ProgressWriter}. */
export interface ProgressWriterDependencies {
  readonly store: Store
  readonly keys: GraphKeys
  readonly leaderKey: string
  readonly epoch: number
  readonly logger: Logger
  readonly metrics: Metrics
  readonly listChangedJobs: () => readonly ChangedJob[]
  /** Encodes a part of a job's progress; undefined if there is no such part any more. */
  readonly encodePart: (jobId: string, part: string) => string | undefined
  /** Builds the job's state as shown to clients; returns undefined if the job has none. */
  readonly makeState: (job: ChangedJob) => JobStateRecord | undefined
  /** Called after parts of the progress of jobs have been stored. */
  readonly onDurable: (entries: readonly BatchEntry[]) => void
  /**
   * Called after a successful transaction, with the time at which it was started. Its success confirms leadership, since it depends on
   * the leader's key.
   */
  readonly onLeadershipConfirmed: (callStartedAt: ClockReading) => void
  /** Called with the reason when this process must not act as the planner any longer. */
  readonly onFenced: (reason: string) => void
}

/** A progress record that is being written, with the revision that the store is taken to hold. */
interface ProgressRecordWrite {
  readonly jobId: string
  readonly part: string
  readonly key: string
  readonly revision: number
  readonly text: string
}

export class ProgressWriter {
  private readonly _dependencies: ProgressWriterDependencies
  /** Revisions of the stored progress records of each job, by part; 0 if there is no record. */
  private readonly _storedRevisions = new Map<string, Map<string, number>>()
  private readonly _batches = new ProgressBatches()
  private readonly _storedPhases = new Map<string, string>()
  /** Keys of the records that the store may hold in a version that this process wrote without getting an answer. */
  private readonly _undecidedRecords = new Set<string>()
  private _rejectedTimer: NodeJS.Timeout | undefined
  private _writeLoop: Promise<void> | undefined
  private _isClosed = false
  private _isFailing = false

  constructor (dependencies: ProgressWriterDependencies) {
    this._dependencies = dependencies
  }

  /** Records the revision of a stored part of a job's progress, and the phase in its stored state, if there is one. */
  recordStoredProgress (jobId: string, revision: number, phase: string | undefined, part = HEAD_PART): void {
    const revisions = this._storedRevisions.get(jobId) ?? new Map<string, number>()
    this._storedRevisions.set(jobId, revisions.set(part, revision))
    if (phase !== undefined) this._storedPhases.set(jobId, phase)
  }

  /** Starts storing the changed jobs, unless a write loop is already running. */
  flush (): void {
    if (!this._isClosed) this._writeLoop ??= this._writeChangedJobs().finally(() => { this._writeLoop = undefined })
  }

  close (): void {
    this._isClosed = true
    clearTimeout(this._rejectedTimer)
  }

  /**
   * Removes the specs, progress records, cancellation requests and fences of jobs; their states are kept. Resolves with the ids of the jobs for which the store
   * confirmed the removal.
   */
  async remove (jobIds: readonly string[]): Promise<string[]> {
    const { store, keys, leaderKey, epoch } = this._dependencies
    const removed: string[] = []
    for (const jobId of jobIds) {
      const parts = [...this._storedRevisions.get(jobId)?.keys() ?? []].filter(part => part !== HEAD_PART)
      const removes = [...parts.map(part => keys.getProgressKey(jobId, part)), keys.getProgressKey(jobId), keys.getCancelKey(jobId), keys.getFenceKey(jobId), keys.getSpecKey(jobId)]
      let isRemoved = true
      // The spec goes last: without it no later planner would look for the other records.
      for (let start = 0; start < removes.length && isRemoved; start += KEYS_PER_REMOVAL) {
        const outcome = await store.transact({ expect: [{ key: leaderKey, modRevision: epoch }], puts: [], removes: removes.slice(start, start + KEYS_PER_REMOVAL) })
        isRemoved = outcome.kind === 'ok'
        if (!isRemoved) this._dependencies.logger.warn({ job: jobId, outcome: outcome.kind }, 'could not remove the records of an expired job; will retry')
      }
      if (!isRemoved) continue
      removed.push(jobId)
      this._storedRevisions.delete(jobId)
      this._storedPhases.delete(jobId)
      this._batches.forgetJob(jobId)
      for (const part of [HEAD_PART, ...parts]) this._undecidedRecords.delete(keys.getProgressKey(jobId, part))
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
      const batch = this._batches.select(this._dependencies.listChangedJobs(), this._dependencies.encodePart, performance.now())
      if (batch.length === 0) return this._scheduleRejected()
      if (!await this._writeBatch(batch)) await new Promise(resolve => setTimeout(resolve, RETRY_MS))
    }
  }

  /** Tries jobs again whose records the store has rejected, once their delay is over. */
  private _scheduleRejected (): void {
    const delayMs = this._batches.getRejectedDelay(performance.now())
    if (delayMs === undefined || this._isClosed) return
    clearTimeout(this._rejectedTimer)
    this._rejectedTimer = setTimeout(() => this.flush(), delayMs)
  }

  /** Stores progress and states of the jobs in one transaction. Resolves with false if the write loop must pause before the next attempt. */
  private async _writeBatch (batch: readonly BatchEntry[]): Promise<boolean> {
    const { store, leaderKey, epoch, logger } = this._dependencies
    const records = this._listRecords(batch)
    const expect = [{ key: leaderKey, modRevision: epoch }, ...records.map(({ key, revision }) => ({ key, modRevision: revision }))]
    const puts = [...records.map(({ key, text }) => ({ key, value: text })), ...this._makeStates(batch)]
    const callStartedAt = readClocks()
    const outcome = await store.transact({ expect, puts, removes: this._listRemoves(batch) })
    if (outcome.kind === 'ok') return this._recordStored(batch, outcome.modRevision, callStartedAt)
    if (outcome.kind === 'conflict') {
      const modRevision = this._findOwnWrite(records, outcome.current)
      return modRevision === undefined ? this._resolveConflict(records, outcome.current) : this._recordStored(batch, modRevision, callStartedAt)
    }
    if (outcome.kind === 'rejected') return this._recordRejection(batch, records, outcome.message)
    if (outcome.kind === 'ambiguous') for (const { key } of records) this._undecidedRecords.add(key)
    this._recordStoreHealth(false, outcome.message)
    logger.debug({ jobs: batch.length, outcome: outcome.kind }, 'could not store job progress; will retry')
    return false
  }

  private _listRecords (batch: readonly BatchEntry[]): ProgressRecordWrite[] {
    return batch.flatMap(({ job, records }) => [...records].map(([part, text]) => {
      return { jobId: job.jobId, part, key: this._dependencies.keys.getProgressKey(job.jobId, part), revision: this._storedRevisions.get(job.jobId)?.get(part) ?? 0, text }
    }))
  }

  /** Makes the states shown to clients of the jobs whose phase has changed. A phase is shown once the head that holds it is stored. */
  private _makeStates (batch: readonly BatchEntry[]): Array<{ readonly key: string, readonly value: string }> {
    const { keys, makeState } = this._dependencies
    return batch.filter(({ job, records }) => records.has(HEAD_PART) && this._storedPhases.get(job.jobId) !== job.phase).flatMap(({ job }) => {
      const state = makeState(job)
      return state === undefined ? [] : [{ key: keys.getStateKey(job.jobId), value: JSON.stringify(state) }]
    })
  }

  private _listRemoves (batch: readonly BatchEntry[]): string[] {
    return batch.flatMap(({ job, removedParts }) => removedParts.map(part => this._dependencies.keys.getProgressKey(job.jobId, part)))
  }

  /**
   * Handles the refusal of a transaction for what it contains. From then on its jobs are written one by one, and one that is refused by itself is left alone for a while, so that it holds up
   * no other.
   */
  private _recordRejection (batch: readonly BatchEntry[], records: readonly ProgressRecordWrite[], message: string): true {
    const { logger, metrics } = this._dependencies
    metrics.count('progress_rejected')
    const delayMs = this._batches.recordRejection(batch, performance.now())
    const largest = [...records].sort((a, b) => b.text.length - a.text.length)[0]
    logger.error({ jobs: batch.map(({ job }) => job.jobId), key: largest?.key, bytes: largest === undefined ? 0 : Buffer.byteLength(largest.text), delayMs, message }, 'the store refuses job progress for what it contains; storing the jobs one by one')
    return true
  }

  private _recordStored (batch: readonly BatchEntry[], modRevision: number, callStartedAt: ClockReading): true {
    for (const { job, records, removedParts } of batch) {
      for (const part of records.keys()) {
        this.recordStoredProgress(job.jobId, modRevision, part === HEAD_PART ? job.phase : undefined, part)
        this._undecidedRecords.delete(this._dependencies.keys.getProgressKey(job.jobId, part))
      }
      for (const part of removedParts) this._storedRevisions.get(job.jobId)?.delete(part)
    }
    this._batches.recordStored(batch)
    this._recordStoreHealth(true, '')
    this._dependencies.onLeadershipConfirmed(callStartedAt)
    this._dependencies.onDurable(batch)
    return true
  }

  /**
   * Returns the revision of a conflicting transaction if the store has carried it out: a call can have several attempts, and one of them may have been carried out and not answered before the
   * answered one found a conflict. Undefined if the store holds anything else.
   */
  private _findOwnWrite (records: readonly ProgressRecordWrite[], current: readonly StoredValue[]): number | undefined {
    const { leaderKey, epoch } = this._dependencies
    if (current.find(value => value.key === leaderKey)?.modRevision !== epoch) return undefined
    const stored = records.map(({ key, text }) => current.find(value => value.key === key && value.value === text))
    const modRevision = stored[0]?.modRevision
    return stored.every(value => value !== undefined && value.modRevision === modRevision) ? modRevision : undefined
  }

  /**
   * Handles a conflict. If an earlier write of this process succeeded but its answer was lost, the current revision of the record is noted, and the progress is written
   * again; returns true in that case. Otherwise leadership was lost, or the store holds progress that this process has never read: writing over it would run tasks twice, so
   * the session ends, and the next planner reads the record.
   */
  private _resolveConflict (records: readonly ProgressRecordWrite[], current: readonly StoredValue[]): boolean {
    const { leaderKey, epoch, logger } = this._dependencies
    const duty = current.find(value => value.key === leaderKey)
    if (duty?.modRevision !== epoch) {
      logger.warn({ epoch, holder: duty?.value, revision: duty?.modRevision }, 'job progress rejected because this process is no longer the leader; ending the session')
      this._endSession('the leader key in the store has changed')
      return false
    }
    const found = new Map(current.map(value => [value.key, value]))
    for (const { jobId, key, revision: knownRevision } of records) {
      const stored = found.get(key)
      if (stored === undefined || stored.modRevision === knownRevision || this._undecidedRecords.has(key)) continue
      logger.error({ job: jobId, epoch, revision: stored.modRevision, knownRevision }, 'the store holds progress of a job that this planner has not read; ending the session')
      this._endSession('the store holds progress that this planner has not read')
      return false
    }
    for (const { jobId, part, key } of records) {
      this.recordStoredProgress(jobId, found.get(key)?.modRevision ?? 0, undefined, part)
      this._storedPhases.delete(jobId)
    }
    logger.info({ jobs: [...new Set(records.map(({ jobId }) => jobId))] }, 'job progress conflicted with the stored revisions; retrying with those')
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
