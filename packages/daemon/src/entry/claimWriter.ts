/**
 * Group commit of conditional claim writes: writes submitted close together go to the store in one call,
 * at most one call is in flight, and the starts of calls are a minimum interval apart.
 */
import type { Random } from '@dragonflylever/core'
import { MAX_PUTS_PER_CALL } from '@dragonflylever/adapters'
import type { Expectation, PutRequest, PutResult, Store, StoredValue } from '@dragonflylever/adapters'

import type { ClaimLease } from './claimLease.js'

const MIN_INTERVAL_MS = 20
const MAX_BATCH_BYTES = 512 * 1024
const MAX_PENDING = 8_192
const FIRST_BACKOFF_MS = 50
const MAX_BACKOFF_MS = 2_000

/** One conditional write of a claim. `nonce` occurs in `value` and in the value of no other write, so that a stored value can be recognised. */
export interface ClaimWrite {
  readonly key: string
  readonly value: string
  readonly nonce: string
  readonly expect: Expectation
  /** Time after which the write is no longer retried, in milliseconds of the monotonic clock. */
  readonly expiresAt: number
  /** Aborted when the write is no longer needed. A write that may have taken effect is still retried until its result is known. */
  readonly signal?: AbortSignal
}

/**
 * Result of a claim's write. `unavailable`: the write was cancelled, or `expiresAt` passed before its result was known. Such a write may
 * have taken effect if `isAmbiguous` is true; otherwise it has not.
 */
export type ClaimWriteResult =
  | { readonly kind: 'ok', readonly modRevision: number }
  | { readonly kind: 'conflict', readonly current: StoredValue | undefined }
  | { readonly kind: 'unavailable', readonly isAmbiguous: boolean }
  | { readonly kind: 'overloaded' }

/** Dependencies of {@link ClaimWriter}. */
export interface ClaimWriterDependencies {
  readonly store: Store
  readonly lease: ClaimLease
  readonly random: Random
  /** Minimum interval between the starts of two store calls, in milliseconds; 20 when absent. */
  readonly minIntervalMs?: number
  /** Maximum number of writes in one store call; the store's limit when absent. */
  readonly maxBatch?: number
}

interface PendingWrite {
  readonly write: ClaimWrite
  readonly resolve: (result: ClaimWriteResult) => void
  isAmbiguous: boolean
}

export class ClaimWriter {
  private readonly _dependencies: ClaimWriterDependencies
  private _pending: PendingWrite[] = []
  private _bytes = 0
  private _lastCallAt = -Infinity
  private _failures = 0
  private _loop: Promise<void> | undefined

  constructor (dependencies: ClaimWriterDependencies) {
    this._dependencies = dependencies
  }

  /** Total length of the values whose writes have no result yet. */
  get bytes (): number {
    return this._bytes
  }

  /** Number of writes that wait to be sent to the store, those to be retried included. */
  get size (): number {
    return this._pending.length
  }

  /** Submits a write; resolves when its result is known and never rejects. */
  submit (write: ClaimWrite): Promise<ClaimWriteResult> {
    if (this._pending.length >= MAX_PENDING) return Promise.resolve({ kind: 'overloaded' })
    const result = new Promise<ClaimWriteResult>(resolve => this._pending.push({ write, resolve, isAmbiguous: false }))
    this._bytes += write.value.length
    void result.then(() => { this._bytes -= write.value.length })
    this._loop ??= this._writeBatches()
    return result
  }

  /** Waits until every write has a result. */
  async drain (): Promise<void> {
    while (this._loop !== undefined) await this._loop
  }

  private async _writeBatches (): Promise<void> {
    // Lets the writes submitted in the same turn of the event loop join the first batch.
    await Promise.resolve()
    while (this._pending.length > 0) {
      await this._waitForNextStoreCall()
      this._removeExpired()
      const batch = this._takeBatch()
      if (batch.length > 0) await this._writeBatch(batch)
    }
    this._loop = undefined
  }

  private async _waitForNextStoreCall (): Promise<void> {
    const interval = this._dependencies.minIntervalMs ?? MIN_INTERVAL_MS
    const delay = Math.max(this._lastCallAt + interval - performance.now(), this._computeBackoff())
    if (delay > 0) await new Promise(resolve => setTimeout(resolve, delay))
  }

  private _computeBackoff (): number {
    if (this._failures === 0) return 0
    const bound = Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** (this._failures - 1))
    return bound * (0.5 + this._dependencies.random.sample() / 2)
  }

  private _removeExpired (): void {
    const now = performance.now()
    const kept: PendingWrite[] = []
    for (const pending of this._pending) {
      const isCancelled = pending.write.signal?.aborted === true && !pending.isAmbiguous
      if (isCancelled || pending.write.expiresAt <= now) pending.resolve({ kind: 'unavailable', isAmbiguous: pending.isAmbiguous })
      else kept.push(pending)
    }
    this._pending = kept
  }

  /**
   * Removes the next batch from the waiting writes, in their order. Two writes of one key are never in the same batch, since the store
   * refuses a transaction that writes a key twice.
   */
  private _takeBatch (): PendingWrite[] {
    const batch = new Map<string, PendingWrite>()
    const remaining: PendingWrite[] = []
    let bytes = 0
    for (const pending of this._pending) {
      const { key, value } = pending.write
      const isFull = batch.size >= (this._dependencies.maxBatch ?? MAX_PUTS_PER_CALL) || (batch.size > 0 && bytes + value.length > MAX_BATCH_BYTES)
      if (isFull || batch.has(key)) {
        remaining.push(pending)
        continue
      }
      batch.set(key, pending)
      bytes += value.length
    }
    this._pending = remaining
    return [...batch.values()]
  }

  private async _writeBatch (batch: readonly PendingWrite[]): Promise<void> {
    this._lastCallAt = performance.now()
    const leaseId = await this._dependencies.lease.getLeaseId()
    if (leaseId === undefined) return this._retryLater(batch)
    const outcome = await this._dependencies.store.putMany(batch.map(pending => makePut(pending.write, leaseId)))
    if (outcome.kind === 'ok') {
      this._failures = 0
      for (const [index, result] of outcome.results.entries()) this._resolveWrite(batch[index], result)
      return
    }
    if (outcome.kind === 'ambiguous') for (const pending of batch) pending.isAmbiguous = true
    else this._dependencies.lease.dropCurrentLease()
    this._retryLater(batch)
  }

  private _retryLater (batch: readonly PendingWrite[]): void {
    this._failures++
    this._pending.unshift(...batch)
  }

  /**
   * Resolves a write by the store's result. A write whose answer was lost is repeated under its original condition, so it can't
   * take effect twice; if it has taken effect, the conflict returns the stored value, which is recognised by its nonce.
   */
  private _resolveWrite (pending: PendingWrite | undefined, result: PutResult): void {
    if (pending === undefined) throw new Error('invariant: the store returned more results than the call had writes')
    if (result.kind === 'ok') return pending.resolve({ kind: 'ok', modRevision: result.modRevision })
    const { current } = result
    if (current !== undefined && isValueOfWrite(current, pending.write)) return pending.resolve({ kind: 'ok', modRevision: current.modRevision })
    const isLeaseGone = current === undefined && pending.write.expect.kind === 'absent'
    if (!isLeaseGone) return pending.resolve({ kind: 'conflict', current })
    this._dependencies.lease.dropCurrentLease()
    this._retryLater([pending])
  }
}

function makePut (write: ClaimWrite, leaseId: string): PutRequest {
  return { key: write.key, value: write.value, expect: write.expect, leaseId }
}

function isValueOfWrite (current: StoredValue, write: ClaimWrite): boolean {
  return current.value === write.value && current.value.includes(write.nonce)
}
