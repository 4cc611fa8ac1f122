/**
 * The platform's key-value service as the system sees it: compare-and-swap, leases, watches.
 * Every call gives an outcome; none rejects. `unavailable` on a write means that it surely had no effect,
 * `ambiguous` that it may have had one.
 */

/** A value with the revisions that the store gave it. */
export interface StoredValue {
  readonly key: string
  readonly value: string
  /** Store-wide revision of the last change of the key. */
  readonly modRevision: number
  /** Store-wide revision of the key's creation. */
  readonly createRevision: number
}

/** What must hold of a key for a write to take effect. */
export type Expectation =
  | { readonly kind: 'any' }
  | { readonly kind: 'absent' }
  | { readonly kind: 'revision', readonly modRevision: number }

/** One conditional write. */
export interface PutRequest {
  readonly key: string
  readonly value: string
  readonly expect: Expectation
  readonly leaseId?: string
  /** True for a write on which a process's authority rests; it has a call budget of its own. */
  readonly isAuthority?: boolean
}

/** One change of several keys that takes effect as a whole or not at all. */
export interface Transaction {
  /** Revision that each key must have; 0 means that the key must be absent. */
  readonly expect: ReadonlyArray<{ readonly key: string, readonly modRevision: number }>
  readonly puts: ReadonlyArray<{ readonly key: string, readonly value: string, readonly leaseId?: string }>
  readonly removes: readonly string[]
}

/** Result of a transaction that the store decided; a conflict brings the expected keys that exist. */
export type TransactResult =
  | { readonly kind: 'ok', readonly modRevision: number }
  | { readonly kind: 'conflict', readonly current: readonly StoredValue[] }

export type Unavailable = { readonly kind: 'unavailable', readonly message: string }
export type Ambiguous = { readonly kind: 'ambiguous', readonly message: string }

export type GetOutcome = { readonly kind: 'ok', readonly value: StoredValue | undefined, readonly storeRevision: number } | Unavailable
export type ListOutcome = { readonly kind: 'ok', readonly values: readonly StoredValue[], readonly storeRevision: number } | Unavailable

/** Result of one write that the store decided. */
export type PutResult =
  | { readonly kind: 'ok', readonly modRevision: number }
  | { readonly kind: 'conflict', readonly current: StoredValue | undefined }

export type PutOutcome = PutResult | Unavailable | Ambiguous
export type PutManyOutcome = { readonly kind: 'ok', readonly results: readonly PutResult[] } | Unavailable | Ambiguous
export type TransactOutcome = TransactResult | Unavailable | Ambiguous
export type RemoveOutcome = { readonly kind: 'ok' } | { readonly kind: 'conflict', readonly current: StoredValue | undefined } | Unavailable | Ambiguous

/** `expired`: the lease is gone for good. */
export type LeaseOutcome = { readonly kind: 'ok', readonly leaseId: string, readonly ttlMs: number } | { readonly kind: 'expired' } | Unavailable | Ambiguous

export type WatchEvent =
  | { readonly kind: 'put', readonly value: StoredValue }
  | { readonly kind: 'removed', readonly key: string, readonly modRevision: number }

/** Receives what a watch sees. */
export interface WatchListener {
  /** Changes in the order of their revisions. */
  onEvents (events: readonly WatchEvent[]): void
  /** The watch has ended and brings nothing more; the holder lists again and opens a new one. */
  onEnd (message: string): void
}

export interface Watch {
  close (): void
}

/** Circuit state towards the store. */
export const StoreHealth = { up: 'up', slow: 'slow', down: 'down' } as const
export type StoreHealth = typeof StoreHealth[keyof typeof StoreHealth]

export interface Store {
  readonly health: StoreHealth
  get (key: string): Promise<GetOutcome>
  list (prefix: string): Promise<ListOutcome>
  put (request: PutRequest): Promise<PutOutcome>
  /** Decides several writes one by one within one call; at most `MAX_PUTS_PER_CALL`. */
  putMany (requests: readonly PutRequest[]): Promise<PutManyOutcome>
  remove (key: string, expect: Expectation): Promise<RemoveOutcome>
  /** Makes a change of several keys; at most `MAX_KEYS_PER_TRANSACTION` in all. */
  transact (transaction: Transaction): Promise<TransactOutcome>
  grantLease (ttlMs: number): Promise<LeaseOutcome>
  renewLease (leaseId: string): Promise<LeaseOutcome>
  revokeLease (leaseId: string): Promise<LeaseOutcome>
  /** Watches a prefix from the given store revision on. */
  watch (prefix: string, fromRevision: number, listener: WatchListener): Watch
  close (): Promise<void>
}

/** Bound of `putMany`, below the usual limit of 128 operations in a transaction. */
export const MAX_PUTS_PER_CALL = 40

/** Bound of `transact`: expectations, puts and removes together, as the users' platform states it. */
export const MAX_KEYS_PER_TRANSACTION = 32
