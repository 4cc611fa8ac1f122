/**
 * Accepts declarations: validates them, then puts them in force by a single compare-and-swap in the store.
 * An accepted revision is durable. Of several operators who apply declarations at the
 * same time exactly one is accepted; the others are shown what has changed.
 */
import { createHash } from 'node:crypto'

import type { WorkerCapacity } from '@dragonflylever/core'
import { MAX_CONFIGURATION_BYTES, MAX_HISTORY, acceptableDeclarationsSchema, compareDeclarations, makeFaultAt, parseDocument } from '@dragonflylever/protocol'
import type { ApplyOutcome, ApplyRequest, Declarations, Fault } from '@dragonflylever/protocol'
import type { Expectation, PutOutcome, Store, StoredValue } from '@dragonflylever/adapters'
import type { Logger } from '@dragonflylever/runtime'

import type { ConfigurationHolder } from '../shared/configurationHolder.js'
import { getConfigurationKey } from '../shared/configurationWatcher.js'
import { decodeConfigurationRecord, findAcceptedRevision, getHistoryKey, hasHistorySince, makeConfigurationRecord } from './configurationRecord.js'
import type { ConfigurationRecord } from './configurationRecord.js'
import { findInfeasibleGuarantees } from './fleetCheck.js'

const DIGEST_LENGTH = 16
const MAX_ATTEMPTS = 5
const INITIAL_BACKOFF_MS = 100

/** Dependencies of {@link ConfigurationAcceptor}. */
export interface ConfigurationAcceptorDependencies {
  readonly store: Store
  readonly prefix: string
  readonly holder: ConfigurationHolder
  readonly logger: Logger
  /** Returns the capacities of the workers that agents currently announce. */
  readonly listWorkers: () => readonly WorkerCapacity[]
}

/** The record in the store when a request starts, and the condition under which the request may replace that record. */
interface BaseRecord {
  readonly expect: Expectation
  readonly stored: StoredValue | undefined
  readonly record: ConfigurationRecord | undefined
}

export class ConfigurationAcceptor {
  private readonly _dependencies: ConfigurationAcceptorDependencies
  private readonly _key: string

  constructor (dependencies: ConfigurationAcceptorDependencies) {
    this._dependencies = dependencies
    this._key = getConfigurationKey(dependencies.prefix)
  }

  /**
   * Applies the declarations that a document contains. Returns the accepted revision, the reasons for a refusal, or why the outcome is not known;
   * the promise never rejects.
   */
  async apply (given: ApplyRequest): Promise<ApplyOutcome> {
    const request = { ...given, nonce: makeAttemptId(given) }
    const parsed = parseDocument(request.document, acceptableDeclarationsSchema)
    if (parsed.kind === 'invalid') return { kind: 'refused', faults: [...parsed.faults] }
    const read = await this._dependencies.store.get(this._key)
    if (read.kind !== 'ok') return makeUnavailableOutcome(request, read.message)
    const base = makeBaseRecord(read.value)
    if (base.record !== undefined) this._dependencies.holder.applyIfNewer(base.record)
    const settled = await this._resolveFromRecord(request, base.record, request.isRepeat)
    if (settled !== undefined) return settled
    const faults = this._checkFeasibility(request, parsed.value)
    if (faults.length > 0) return request.isRepeat ? makeUnsettledOutcome('the fleet can no longer hold the guarantees, and an earlier attempt may still take effect') : { kind: 'refused', faults }
    return this._replaceRecord(request, parsed.value, base)
  }

  private _checkFeasibility (request: ApplyRequest, declarations: Declarations): Fault[] {
    const workers = this._dependencies.listWorkers()
    if (workers.length > 0) {
      return findInfeasibleGuarantees(declarations, workers).map(fault => makeFaultAt(request.document, fault.path, fault.found, fault.expected))
    }
    if (request.allowUnknownFleet) return []
    return [makeFaultAt(request.document, ['organisations'], 'no worker announced to check the guarantees against', 'announced workers, or the flag --allow-unknown-fleet')]
  }

  private async _replaceRecord (request: ApplyRequest, declarations: Declarations, base: BaseRecord): Promise<ApplyOutcome> {
    const record = makeConfigurationRecord(request, declarations, base.record, Date.now())
    const value = JSON.stringify(record)
    if (Buffer.byteLength(value) > MAX_CONFIGURATION_BYTES) {
      return { kind: 'refused', faults: [makeFaultAt(request.document, [], `${Buffer.byteLength(value)} bytes`, `at most ${MAX_CONFIGURATION_BYTES} bytes with its history`)] }
    }
    if (!await this._recordHistory(base)) return makeUnavailableOutcome(request, 'the revision in force could not be kept in the history')
    const outcome = await this._writeRecord(request, value, base)
    if (outcome.kind === 'accepted') this._applyAcceptedRecord(record, outcome.revision)
    return outcome
  }

  /** Copies the record in force to the history before it is replaced; an existing copy is left as it is. Returns false when the copy failed. */
  private async _recordHistory (base: BaseRecord): Promise<boolean> {
    if (base.stored === undefined || base.record === undefined) return true
    const key = getHistoryKey(this._dependencies.prefix, base.record.revision)
    for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
      const outcome = await this._dependencies.store.put({ key, value: base.stored.value, expect: { kind: 'absent' } })
      if (outcome.kind === 'ok' || outcome.kind === 'conflict') return true
      if (outcome.kind === 'unavailable') return false
    }
    return false
  }

  /**
   * Repeats the write of the new record, at most a few times, until the store reports its outcome. The repetition is safe, since each write
   * expects the same revision.
   */
  private async _writeRecord (request: ApplyRequest, value: string, base: BaseRecord): Promise<ApplyOutcome> {
    let mayBeWritten = request.isRepeat
    for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
      const put = await this._dependencies.store.put({ key: this._key, value, expect: base.expect })
      const settled = await this._resolveWrite(request, put, mayBeWritten)
      if (settled !== undefined) return settled
      if (put.kind === 'unavailable' && !mayBeWritten) return { kind: 'storeUnavailable', message: put.message }
      mayBeWritten = true
      await waitMs(INITIAL_BACKOFF_MS * 2 ** (attempt - 1))
      const read = await this._dependencies.store.get(this._key)
      const found = read.kind === 'ok' && read.value !== undefined ? await this._resolveFromRecord(request, decodeConfigurationRecord(read.value), mayBeWritten) : undefined
      if (found !== undefined) return found
    }
    return makeUnsettledOutcome('the store did not say whether the write took effect')
  }

  private async _resolveWrite (request: ApplyRequest, put: PutOutcome, mayBeWritten: boolean): Promise<ApplyOutcome | undefined> {
    if (put.kind === 'ok') return this._makeAcceptedOutcome(request.expect + 1)
    if (put.kind !== 'conflict') return undefined
    const record = put.current === undefined ? undefined : decodeConfigurationRecord(put.current)
    return await this._resolveFromRecord(request, record, mayBeWritten) ?? makeUnsettledOutcome('the configuration in the store was changed by other means')
  }

  /**
   * Determines the outcome of the request from the record in the store; undefined while the record still has the expected revision, so that
   * the write may yet succeed.
   */
  private async _resolveFromRecord (request: ApplyRequest, record: ConfigurationRecord | undefined, mayBeWritten: boolean): Promise<ApplyOutcome | undefined> {
    const acceptedAs = record === undefined ? undefined : findAcceptedRevision(record, request.nonce)
    if (acceptedAs !== undefined) return this._makeAcceptedOutcome(acceptedAs)
    if ((record?.revision ?? 0) === request.expect) return undefined
    if (record !== undefined && !hasHistorySince(record, request.expect) && mayBeWritten) {
      return makeUnsettledOutcome('the history no longer reaches back to the expected revision')
    }
    return this._makeStaleOutcome(request, record)
  }

  private _makeAcceptedOutcome (revision: number): ApplyOutcome {
    return { kind: 'accepted', revision, isFleetChecked: this._dependencies.listWorkers().length > 0 }
  }

  private async _makeStaleOutcome (request: ApplyRequest, record: ConfigurationRecord | undefined): Promise<ApplyOutcome> {
    const since = record?.history.filter(entry => entry.revision > request.expect) ?? []
    const stale = { kind: 'stale' as const, currentRevision: record?.revision ?? 0, since }
    const read = await this._dependencies.store.get(getHistoryKey(this._dependencies.prefix, request.expect))
    if (read.kind !== 'ok' || read.value === undefined || record === undefined) return stale
    return { ...stale, changes: compareDeclarations(decodeConfigurationRecord(read.value).declarations, record.declarations) }
  }

  private _applyAcceptedRecord (record: ConfigurationRecord, revision: number): void {
    if (record.revision === revision) this._dependencies.holder.applyIfNewer(record)
    this._dependencies.logger.info({ revision, by: record.acceptedBy }, 'configuration revision accepted')
    const outdatedKey = getHistoryKey(this._dependencies.prefix, revision - MAX_HISTORY)
    if (revision > MAX_HISTORY) void this._dependencies.store.remove(outdatedKey, { kind: 'any' })
  }
}

/**
 * Returns the nonce with a digest of the document and the expected revision, so that a nonce reused for another document does not count as
 * accepted.
 */
function makeAttemptId (request: ApplyRequest): string {
  const digest = createHash('sha256').update(`${request.expect}\n${request.document}`).digest('hex')
  return `${request.nonce}.${digest.slice(0, DIGEST_LENGTH)}`
}

function makeBaseRecord (stored: StoredValue | undefined): BaseRecord {
  if (stored === undefined) return { expect: { kind: 'absent' }, stored, record: undefined }
  return { expect: { kind: 'revision', modRevision: stored.modRevision }, stored, record: decodeConfigurationRecord(stored) }
}

function makeUnavailableOutcome (request: ApplyRequest, message: string): ApplyOutcome {
  return request.isRepeat ? makeUnsettledOutcome(message) : { kind: 'storeUnavailable', message }
}

function makeUnsettledOutcome (message: string): ApplyOutcome {
  return { kind: 'unsettled', message }
}

async function waitMs (ms: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, ms))
}
