/**
 * Submits, reads and cancels jobs in the store on behalf of entries. A job is accepted only once its record is stored durably.
 */
import type { Store } from '@dragonflylever/adapters'

import { getCancelKey, getJobsPrefix, getJobRecordKey } from './jobRecord.js'
import type { JobRecord } from './jobRecord.js'

/**
 * Outcome of a submission. `repeated`: the idempotency key was used before, for the same job. `keyReused`: the key was used before, for
 * another job. `unavailable`: the job was not stored. `unsettled`: it is not known whether the job was stored.
 */
export type SubmitOutcome =
  | { readonly kind: 'accepted', readonly record: JobRecord }
  | { readonly kind: 'repeated', readonly record: JobRecord }
  | { readonly kind: 'keyReused', readonly record: JobRecord }
  | { readonly kind: 'unavailable', readonly message: string }
  | { readonly kind: 'unsettled', readonly message: string }

export type FindOutcome =
  | { readonly kind: 'found', readonly record: JobRecord }
  | { readonly kind: 'missing' }
  | { readonly kind: 'unavailable', readonly message: string }

const READ_BACK_ATTEMPTS = 5
const READ_BACK_INTERVAL_MS = 200

export class JobDirectory {
  private readonly _store: Store
  private readonly _prefix: string

  constructor (store: Store, prefix: string) {
    this._store = store
    this._prefix = prefix
  }

  /** Stores a new job unless its idempotency key was used before. */
  async submit (record: JobRecord): Promise<SubmitOutcome> {
    const key = getJobRecordKey(this._prefix, record.spec.id)
    const outcome = await this._store.put({ key, value: JSON.stringify(record), expect: { kind: 'absent' } })
    if (outcome.kind === 'ok') return { kind: 'accepted', record }
    if (outcome.kind === 'unavailable') return outcome
    if (outcome.kind === 'conflict' && outcome.current !== undefined) return compareRecords(record, JSON.parse(outcome.current.value) as JobRecord)
    return this._readBack(record)
  }

  /** Reads the record of a job from the store; the outcome tells a missing job from an unavailable store. */
  async find (jobId: string): Promise<FindOutcome> {
    const outcome = await this._store.get(getJobRecordKey(this._prefix, jobId))
    if (outcome.kind !== 'ok') return outcome
    return outcome.value === undefined ? { kind: 'missing' } : { kind: 'found', record: JSON.parse(outcome.value.value) as JobRecord }
  }

  /** Lists the records of all jobs of an organisation. */
  async list (organisation: string): Promise<{ readonly kind: 'listed', readonly records: readonly JobRecord[] } | { readonly kind: 'unavailable', readonly message: string }> {
    const outcome = await this._store.list(getJobsPrefix(this._prefix))
    if (outcome.kind !== 'ok') return outcome
    const records = outcome.values.filter(value => value.key.endsWith('/record')).map(value => JSON.parse(value.value) as JobRecord)
    return { kind: 'listed', records: records.filter(record => record.spec.organisation === organisation) }
  }

  /** Stores a request to cancel a job, which the planner carries out; idempotent. */
  async cancel (jobId: string): Promise<{ readonly kind: 'asked' } | { readonly kind: 'unavailable', readonly message: string }> {
    const outcome = await this._store.put({ key: getCancelKey(this._prefix, jobId), value: '{}', expect: { kind: 'absent' } })
    if (outcome.kind === 'ok' || outcome.kind === 'conflict') return { kind: 'asked' }
    return { kind: 'unavailable', message: outcome.message }
  }

  private async _readBack (record: JobRecord): Promise<SubmitOutcome> {
    for (let attempt = 0; attempt < READ_BACK_ATTEMPTS; attempt++) {
      const found = await this.find(record.spec.id)
      if (found.kind === 'found') return compareRecords(record, found.record)
      if (found.kind === 'missing') return { kind: 'unavailable', message: 'the job was not stored' }
      await new Promise(resolve => setTimeout(resolve, READ_BACK_INTERVAL_MS))
    }
    return { kind: 'unsettled', message: 'the store did not say whether the job was stored; submit it again with the same key' }
  }
}

function compareRecords (submitted: JobRecord, stored: JobRecord): SubmitOutcome {
  const isSame = JSON.stringify(submitted.spec) === JSON.stringify(stored.spec) && submitted.payload === stored.payload
  return { kind: isSame ? 'repeated' : 'keyReused', record: stored }
}
