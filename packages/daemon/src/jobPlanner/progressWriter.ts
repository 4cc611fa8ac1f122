/**
 * Stores what the planner has decided, one call in flight at a time. Each call is conditional on the duty's key and on the
 * revision of each record, so that neither a former holder nor a late write of this one can undo a newer decision.
 */
import { MAX_KEYS_PER_TRANSACTION } from '@dragonflylever/adapters'
import type { Store, StoredValue } from '@dragonflylever/adapters'
import type { DirtyJob } from '@dragonflylever/core/graphs/index'
import { readClocks } from '@dragonflylever/runtime'
import type { ClockReading, Logger } from '@dragonflylever/runtime'

import type { GraphKeys, JobStateRecord } from './graphKeys.js'

/** Keys that one job takes at most: an expectation and two puts. */
const KEYS_PER_JOB = 3
/** Bytes of records in one call, well below the largest value that the store takes. */
const MAX_BATCH_BYTES = 256 * 1024
/** Pause after a call that the store did not decide, in milliseconds. */
const RETRY_MS = 60

/** What a writer works with. */
export interface ProgressWriterParts {
  readonly store: Store
  readonly keys: GraphKeys
  readonly dutyKey: string
  readonly epoch: number
  readonly logger: Logger
  readonly listDirty: () => readonly DirtyJob[]
  /** Builds the state that consumers are shown. */
  readonly makeState: (job: DirtyJob) => JobStateRecord | undefined
  /** Called when jobs are stored. */
  readonly onDurable: (jobs: readonly DirtyJob[]) => void
  /** Called with the moment at which an accepted call was begun. */
  readonly onProof: (begunAt: ClockReading) => void
  /** Called when the store has another holder of the duty. */
  readonly onFenced: () => void
}

export class ProgressWriter {
  private readonly _parts: ProgressWriterParts
  /** Revisions of the progress records; 0 for one that isn't there. */
  private readonly _revisions = new Map<string, number>()
  private readonly _phases = new Map<string, string>()
  private _loop: Promise<void> | undefined
  private _isClosed = false
  private _isStalled = false

  constructor (parts: ProgressWriterParts) {
    this._parts = parts
  }

  /** Notes the revision of a record and the phase that is shown, as they were read. */
  note (jobId: string, revision: number, phase: string | undefined): void {
    this._revisions.set(jobId, revision)
    if (phase !== undefined) this._phases.set(jobId, phase)
  }

  /** Stores what has changed. */
  flush (): void {
    if (!this._isClosed) this._loop ??= this._run().finally(() => { this._loop = undefined })
  }

  close (): void {
    this._isClosed = true
  }

  /** Removes what is kept of a job but its state. */
  async remove (jobIds: readonly string[]): Promise<void> {
    const { store, keys, dutyKey, epoch } = this._parts
    for (const jobId of jobIds) {
      this._revisions.delete(jobId)
      this._phases.delete(jobId)
      const removes = [keys.getSpec(jobId), keys.getProgress(jobId), keys.getCancel(jobId)]
      const outcome = await store.transact({ expect: [{ key: dutyKey, modRevision: epoch }], puts: [], removes })
      if (outcome.kind !== 'ok') this._parts.logger.warn({ job: jobId, outcome: outcome.kind }, 'records of an old job not removed, left to the next planner')
    }
  }

  /** Removes the states of jobs, so that their ids are free again. */
  async removeStates (jobIds: readonly string[]): Promise<boolean> {
    const { store, keys, dutyKey, epoch, logger } = this._parts
    const outcome = await store.transact({ expect: [{ key: dutyKey, modRevision: epoch }], puts: [], removes: jobIds.map(jobId => keys.getState(jobId)) })
    if (outcome.kind !== 'ok') logger.warn({ jobs: jobIds.length, outcome: outcome.kind }, 'states of old jobs not removed, tried again later')
    return outcome.kind === 'ok'
  }

  private async _run (): Promise<void> {
    // Lets the changes of the same turn of the event loop join one call.
    await Promise.resolve()
    while (!this._isClosed) {
      const batch = takeBatch(this._parts.listDirty())
      if (batch.length === 0) return
      if (!await this._write(batch)) await new Promise(resolve => setTimeout(resolve, RETRY_MS))
    }
  }

  /** Returns false when the batch has to be offered again after a pause. */
  private async _write (batch: readonly DirtyJob[]): Promise<boolean> {
    const { store, keys, dutyKey, epoch, logger } = this._parts
    const expect = [{ key: dutyKey, modRevision: epoch }, ...batch.map(job => ({ key: keys.getProgress(job.jobId), modRevision: this._revisions.get(job.jobId) ?? 0 }))]
    const states = batch.filter(job => this._phases.get(job.jobId) !== job.phase)
    const statePuts = states.flatMap(job => {
      const state = this._parts.makeState(job)
      return state === undefined ? [] : [{ key: keys.getState(job.jobId), value: JSON.stringify(state) }]
    })
    const puts = [...batch.map(job => ({ key: keys.getProgress(job.jobId), value: job.record })), ...statePuts]
    const begunAt = readClocks()
    const outcome = await store.transact({ expect, puts, removes: [] })
    if (outcome.kind === 'ok') {
      for (const job of batch) this.note(job.jobId, outcome.modRevision, job.phase)
      this._noteHealth(true, '')
      this._parts.onProof(begunAt)
      this._parts.onDurable(batch)
      return true
    }
    if (outcome.kind === 'conflict') return this._settle(batch, outcome.current)
    this._noteHealth(false, outcome.message)
    logger.debug({ jobs: batch.length, outcome: outcome.kind }, 'progress not stored yet')
    return false
  }

  /**
   * A conflict is either the end of the duty, or an own write whose answer was lost. In the second case the record has a
   * revision that is not known here yet; what is newer is offered again under it.
   */
  private _settle (batch: readonly DirtyJob[], current: readonly StoredValue[]): boolean {
    const { dutyKey, epoch, keys, logger } = this._parts
    const duty = current.find(value => value.key === dutyKey)
    if (duty?.modRevision !== epoch) {
      logger.warn({ epoch, holder: duty?.value, revision: duty?.modRevision }, 'progress refused: another process has the duty')
      this._isClosed = true
      this._parts.onFenced()
      return false
    }
    for (const job of batch) {
      const found = current.find(value => value.key === keys.getProgress(job.jobId))
      this._revisions.set(job.jobId, found?.modRevision ?? 0)
      this._phases.delete(job.jobId)
    }
    logger.info({ jobs: batch.map(job => job.jobId) }, 'progress offered again under the stored revisions')
    return true
  }

  private _noteHealth (isStored: boolean, message: string): void {
    if (this._isStalled !== isStored) return
    this._isStalled = !isStored
    if (isStored) this._parts.logger.info({}, 'store takes progress again')
    else this._parts.logger.warn({ message }, 'store takes no progress')
  }
}

function takeBatch (dirty: readonly DirtyJob[]): DirtyJob[] {
  const batch: DirtyJob[] = []
  let bytes = 0
  for (const job of dirty) {
    const isFull = (batch.length + 1) * KEYS_PER_JOB + 1 > MAX_KEYS_PER_TRANSACTION || (batch.length > 0 && bytes + job.record.length > MAX_BATCH_BYTES)
    if (isFull) break
    batch.push(job)
    bytes += job.record.length
  }
  return batch
}
