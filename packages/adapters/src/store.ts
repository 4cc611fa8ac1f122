/**
 * Interface to the platform's key-value store: compare-and-swap, leases and watches.
 * Every call resolves with an outcome; none rejects. `unavailable` on a write means that it certainly had no effect,
 * `ambiguous` that it may have had one.
 */

/** A stored value with its revisions. */
export interface StoredValue {
  readonly key: string
  readonly value: string
  /** Store-wide revision of the last change of the key. */
  readonly modRevision: number
  /** Store-wide revision of the key's creation. */
  readonly createRevision: number
}

/** Precondition of a write on the current state of its key. `absent`: the key does not exist; `revision`: its last change has this revision. */
export type Expectation =
  | { readonly kind: 'any' }
  | { readonly kind: 'absent' }
  | { readonly kind: 'revision', readonly modRevision: number }

/** A write of one key with its precondition. */
export interface PutRequest {
  readonly key: string
  readonly value: string
  readonly expect: Expectation
  readonly leaseId?: string
  /** True if the write is for a leader key. Such a write uses the rate limit of lease calls, not that of other calls. */
  readonly isLeadershipWrite?: boolean
}

/** An atomic change of several keys. */
export interface Transaction {
  /** Preconditions: the revision of its last change that each key must have; 0 means that the key must not exist. */
  readonly expect: ReadonlyArray<{ readonly key: string, readonly modRevision: number }>
  readonly puts: ReadonlyArray<{ readonly key: string, readonly value: string, readonly leaseId?: string }>
  readonly removes: readonly string[]
}

/** Result of a transaction that the store processed; a conflict lists the current values of the keys in `expect` that exist. */
export type TransactResult =
  | { readonly kind: 'ok', readonly modRevision: number }
  | { readonly kind: 'conflict', readonly current: readonly StoredValue[] }

/** The call had no effect. `outageMs` is the time since the first call that the store left unanswered, in milliseconds, while no later call has been answered. */
export type Unavailable = { readonly kind: 'unavailable', readonly message: string, readonly outageMs?: number }
export type Ambiguous = { readonly kind: 'ambiguous', readonly message: string }
/** The store has refused a write for what it contains, such as a value that is too large, and would refuse it again. The write had no effect. */
export type Rejected = { readonly kind: 'rejected', readonly message: string }

export type GetOutcome = { readonly kind: 'ok', readonly value: StoredValue | undefined, readonly storeRevision: number } | Unavailable
export type ListOutcome = { readonly kind: 'ok', readonly values: readonly StoredValue[], readonly storeRevision: number } | Unavailable

/** Result of one write that the store processed; a conflict holds the current value of the key, if it exists. */
export type PutResult =
  | { readonly kind: 'ok', readonly modRevision: number }
  | { readonly kind: 'conflict', readonly current: StoredValue | undefined }

export type PutOutcome = PutResult | Rejected | Unavailable | Ambiguous
export type PutManyOutcome = { readonly kind: 'ok', readonly results: readonly PutResult[] } | Unavailable | Ambiguous
export type TransactOutcome = TransactResult | Rejected | Unavailable | Ambiguous
export type RemoveOutcome = { readonly kind: 'ok' } | { readonly kind: 'conflict', readonly current: StoredValue | undefined } | Rejected | Unavailable | Ambiguous

/** Outcome of a lease call. `expired`: the lease no longer exists and cannot be renewed. */
export type LeaseOutcome = { readonly kind: 'ok', readonly leaseId: string, readonly ttlMs: number } | { readonly kind: 'expired' } | Unavailable | Ambiguous

/** How long a call may be held before it is sent, for a store client that knows whether the store answers; others ignore it. */
export interface WaitOptions {
  /** Maximum time to wait for the return of a store that is known to be unavailable, in milliseconds; 0 to refuse the call at once. */
  readonly maxOutageWaitMs: number
  /** Maximum time to wait for a read, or for the read that precedes a write, in milliseconds, while it is not known whether the store answers. */
  readonly maxReadWaitMs: number
}

export type WatchEvent =
  | { readonly kind: 'put', readonly value: StoredValue }
  | { readonly kind: 'removed', readonly key: string, readonly modRevision: number }

/** Both clocks of this process at the start of a call, in milliseconds; the monotonic clock stands still while the host is suspended. */
export interface CallStart {
  readonly monotonicMs: number
  readonly wallMs: number
}

/** Receives the events of a watch. */
export interface WatchListener {
  /** Called with changes in the order of their revisions. */
  onEvents (events: readonly WatchEvent[]): void
  /**
   * Called after each answer of a store that is polled, also after one without changes: all changes up to `storeRevision` have been delivered.
   * Stores that push changes don't call it. What was delivered is as old as the start of the call: its answer may have been on its way for as long.
   */
  onConfirm? (storeRevision: number, callStartedAt: CallStart): void
  /** Called after each call of a store that is polled that brought no usable answer; the watch repeats the call. `elapsedMs` is the duration of the call in milliseconds. */
  onFailure? (message: string, elapsedMs: number): void
  /** Called when the watch has ended; its owner must list again and open a new watch. */
  onEnd (message: string): void
}

export interface Watch {
  close (): void
}

/** Options of a watch. */
export interface WatchOptions {
  /**
   * Time after which a watch that hears nothing must have found out whether its connection is dead, in milliseconds; the adapter's default if absent. For
   * adapters that poll.
   */
  readonly maxSilenceMs?: number
  /**
   * True if the prefix is one key of which only the current value counts. An adapter that polls then reads the value, rather than all versions since the last one it delivered, after a call without an
   * answer and while versions come faster than they are received.
   */
  readonly isValueOnly?: boolean
}

/** Health of the store as seen by the calls of this process: `slow` after a slow answer, `down` while the store does not answer. */
export const StoreHealth = { up: 'up', slow: 'slow', down: 'down' } as const
export type StoreHealth = typeof StoreHealth[keyof typeof StoreHealth]

export interface Store {
  readonly health: StoreHealth
  get (key: string, wait?: WaitOptions): Promise<GetOutcome>
  list (prefix: string): Promise<ListOutcome>
  put (request: PutRequest): Promise<PutOutcome>
  /** Performs several independent writes in one call, at most {@link MAX_PUTS_PER_CALL}. */
  putMany (requests: readonly PutRequest[]): Promise<PutManyOutcome>
  remove (key: string, expect: Expectation): Promise<RemoveOutcome>
  /** Changes several keys atomically, with at most {@link MAX_KEYS_PER_TRANSACTION} preconditions, puts and removals together. */
  transact (transaction: Transaction, wait?: WaitOptions): Promise<TransactOutcome>
  grantLease (ttlMs: number): Promise<LeaseOutcome>
  renewLease (leaseId: string): Promise<LeaseOutcome>
  revokeLease (leaseId: string): Promise<LeaseOutcome>
  /** Watches the keys with a prefix, starting at the given store revision. */
  watch (prefix: string, fromRevision: number, listener: WatchListener, options?: WatchOptions): Watch
  close (): Promise<void>
}

/** Maximum number of writes in one `putMany` call, below the usual limit of 128 operations in a transaction. */
export const MAX_PUTS_PER_CALL = 40

/** Maximum number of preconditions, puts and removals in one `transact` call, as documented by the platform's key-value service. */
export const MAX_KEYS_PER_TRANSACTION = 32
