/**
 * State of the key-value store stand-in: revisions, conditional writes, leases and change history. In memory, without I/O.
 */
import { encodeBytes } from '@dragonflylever/adapters'
import type { Expectation, PutRequest, PutResult, StoredValue, TransactResult, Transaction, WatchEvent } from '@dragonflylever/adapters'

interface Lease {
  readonly ttlMs: number
  readonly keys: Set<string>
  expiresAt: number
}

interface Row extends StoredValue {
  readonly leaseId: string | undefined
}

/** Called with each change of a key, in order of revision. */
export type EngineListener = (event: WatchEvent) => void

export class StoreEngine {
  private readonly _rows = new Map<string, Row>()
  private readonly _leases = new Map<string, Lease>()
  private readonly _history: WatchEvent[] = []
  private readonly _listeners = new Set<EngineListener>()
  private _revision = 1
  private _nextLease = 1

  /** Revision of the latest change. */
  get revision (): number {
    return this._revision
  }

  /** Number of stored keys. */
  get size (): number {
    return this._rows.size
  }

  get (key: string): StoredValue | undefined {
    this.expireLeases()
    return this._rows.get(key)
  }

  list (prefix: string): StoredValue[] {
    this.expireLeases()
    const rows = [...this._rows.values()].filter(row => row.key.startsWith(prefix))
    return rows.sort((a, b) => encodeBytes(a.key) < encodeBytes(b.key) ? -1 : 1)
  }

  /** Writes a value if the condition holds and the lease exists; otherwise writes nothing and returns a conflict with the stored value. */
  put (request: PutRequest): PutResult {
    this.expireLeases()
    const current = this._rows.get(request.key)
    if (!isConditionMet(request.expect, current)) return { kind: 'conflict', current }
    if (request.leaseId !== undefined && !this._leases.has(request.leaseId)) return { kind: 'conflict', current }
    this._write(request, current)
    return { kind: 'ok', modRevision: this._revision }
  }

  /** Removes a key if the condition holds; otherwise changes nothing and returns a conflict with the stored value. */
  remove (key: string, expect: Expectation): PutResult {
    this.expireLeases()
    const current = this._rows.get(key)
    if (!isConditionMet(expect, current)) return { kind: 'conflict', current }
    if (current !== undefined) this._delete(key)
    return { kind: 'ok', modRevision: this._revision }
  }

  /** Performs all changes of a transaction, with the same revision, or none of them and returns a conflict, if an expected revision or a lease is wrong. */
  transact (transaction: Transaction): TransactResult {
    this.expireLeases()
    const isExpectationMet = transaction.expect.every(({ key, modRevision }) => (this._rows.get(key)?.modRevision ?? 0) === modRevision)
    const hasLeases = transaction.puts.every(({ leaseId }) => leaseId === undefined || this._leases.has(leaseId))
    if (!isExpectationMet || !hasLeases) return { kind: 'conflict', current: transaction.expect.flatMap(({ key }) => this._rows.get(key) ?? []) }
    this._revision++
    for (const put of transaction.puts) this._write({ ...put, expect: { kind: 'any' } }, this._rows.get(put.key), this._revision)
    for (const key of transaction.removes) this._delete(key, this._revision)
    return { kind: 'ok', modRevision: this._revision }
  }

  hasLease (leaseId: string): boolean {
    this.expireLeases()
    return this._leases.has(leaseId)
  }

  grantLease (ttlMs: number): string {
    const leaseId = String(this._nextLease++)
    this._leases.set(leaseId, { ttlMs, keys: new Set(), expiresAt: performance.now() + ttlMs })
    return leaseId
  }

  /** Renews a lease; returns its time to live in milliseconds, or undefined when the lease no longer exists. */
  renewLease (leaseId: string): number | undefined {
    this.expireLeases()
    const lease = this._leases.get(leaseId)
    if (lease === undefined) return undefined
    lease.expiresAt = performance.now() + lease.ttlMs
    return lease.ttlMs
  }

  /** Revokes all leases at once, which can happen in a store outage. */
  revokeAllLeases (): void {
    for (const leaseId of [...this._leases.keys()]) this.revokeLease(leaseId)
  }

  /** Revokes a lease and removes its keys; returns false when the lease no longer exists. */
  revokeLease (leaseId: string): boolean {
    const lease = this._leases.get(leaseId)
    if (lease === undefined) return false
    this._leases.delete(leaseId)
    for (const key of lease.keys) this._delete(key)
    return true
  }

  /** Revokes the leases whose time to live has passed, and removes their keys. */
  expireLeases (): void {
    const now = performance.now()
    for (const [leaseId, lease] of this._leases) {
      if (lease.expiresAt <= now) this.revokeLease(leaseId)
    }
  }

  /** Returns the changes to keys with a prefix, starting at a revision. */
  readHistory (prefix: string, fromRevision: number): WatchEvent[] {
    return this._history.filter(event => getEventKey(event).startsWith(prefix) && getEventRevision(event) >= fromRevision)
  }

  /** Calls `listener` with each future change; the returned function unsubscribes it. */
  subscribe (listener: EngineListener): () => void {
    this._listeners.add(listener)
    return () => { this._listeners.delete(listener) }
  }

  private _write (request: PutRequest, current: Row | undefined, revision = this._revision + 1): void {
    this._revision = revision
    if (current?.leaseId !== undefined) this._leases.get(current.leaseId)?.keys.delete(request.key)
    if (request.leaseId !== undefined) this._leases.get(request.leaseId)?.keys.add(request.key)
    const createRevision = current?.createRevision ?? this._revision
    const row = { key: request.key, value: request.value, modRevision: this._revision, createRevision, leaseId: request.leaseId }
    this._rows.set(request.key, row)
    this._notify({ kind: 'put', value: row })
  }

  private _delete (key: string, revision = this._revision + 1): void {
    if (!this._rows.delete(key)) return
    this._revision = revision
    this._notify({ kind: 'removed', key, modRevision: this._revision })
  }

  private _notify (event: WatchEvent): void {
    this._history.push(event)
    for (const listener of this._listeners) listener(event)
  }
}

function isConditionMet (expect: Expectation, current: StoredValue | undefined): boolean {
  if (expect.kind === 'any') return true
  if (expect.kind === 'absent') return current === undefined
  return current?.modRevision === expect.modRevision
}

function getEventKey (event: WatchEvent): string {
  return event.kind === 'put' ? event.value.key : event.key
}

function getEventRevision (event: WatchEvent): number {
  return event.kind === 'put' ? event.value.modRevision : event.modRevision
}
