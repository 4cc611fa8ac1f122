/**
 * The store client of the processes: a rate limit, timeouts and a circuit breaker around an adapter, with counts of calls by kind.
 * A call that exceeds the rate limit, or is made while the circuit is open, is not sent, so that its outcome is `unavailable` even for a write.
 * After a call without an answer, and optionally after a time without calls, a write is sent only once the store has answered a read: an
 * unanswered read is harmless, but an unanswered write leaves its caller without an outcome.
 * Calls for leases have a rate limit of their own, so that many other calls cannot make a process lose its leadership.
 */
import type { Random } from '@dragonflylever/core'

import { CircuitBreaker } from './circuitBreaker.js'
import type { Ambiguous, Expectation, GetOutcome, LeaseOutcome, ListOutcome, PutManyOutcome, PutOutcome, PutRequest, RemoveOutcome, Store, StoreHealth, TransactOutcome, Transaction, Unavailable, Watch, WatchListener, WatchOptions } from './store.js'
import { TokenBucket } from './tokenBucket.js'

const DEFAULT_RATE_PER_S = 10
const DEFAULT_BURST = 40
const DEFAULT_TIMEOUT_MS = 1_500
/** Rate limit of lease calls and of writes of leader keys: enough to renew the leases of two leader roles every 1.5 s and sometimes acquire one again. */
const LEASE_CALL_RATE = { ratePerS: 4, burst: 12 } as const
/** Key that is read to find out whether the store answers; it is never written. */
const PROBE_KEY = 'dragonflylever/probe'

/** Numbers of calls sent so far by kind, of watches that are open now, and of calls that the rate limit or the circuit breaker rejected. */
export interface StoreUsage {
  readonly reads: number
  readonly writes: number
  readonly leases: number
  readonly watchesOpened: number
  readonly openWatches: number
  readonly overBudget: number
  readonly rejectedByCircuit: number
  /** Fraction of the burst capacity that is currently used up, from 0 to 1. */
  readonly budgetUsed: number
}

export interface StoreClientOptions {
  readonly store: Store
  readonly random: Random
  /** Average number of calls per second that this process may make. */
  readonly ratePerS?: number
  /** Number of calls that this process may make in a burst. */
  readonly burst?: number
  readonly callTimeoutMs?: number
  /** Maximum back-off after which a store that does not answer is probed again, in milliseconds. */
  readonly maxPauseMs?: number
  /** Time since the store's last answer after which a write is preceded by a read, in milliseconds; absent for no limit. */
  readonly maxAnswerAgeMs?: number
}

type CallKind = 'reads' | 'writes' | 'leases'

export class StoreClient implements Store {
  private readonly _store: Store
  private readonly _bucket: TokenBucket
  private readonly _leaseBucket: TokenBucket
  private readonly _circuitBreaker: CircuitBreaker
  private readonly _timeoutMs: number
  private readonly _maxAnswerAgeMs: number
  private _answeredAt = -Infinity
  private _probeTimer: NodeJS.Timeout | undefined
  private _isClosed = false
  private readonly _usage = { reads: 0, writes: 0, leases: 0, watchesOpened: 0, openWatches: 0, overBudget: 0, rejectedByCircuit: 0 }

  constructor (options: StoreClientOptions) {
    const rate = { ratePerS: options.ratePerS ?? DEFAULT_RATE_PER_S, burst: options.burst ?? DEFAULT_BURST }
    this._store = options.store
    this._bucket = new TokenBucket(rate, performance.now())
    this._leaseBucket = new TokenBucket(LEASE_CALL_RATE, performance.now())
    this._circuitBreaker = new CircuitBreaker(options.random, options.maxPauseMs)
    this._timeoutMs = options.callTimeoutMs ?? DEFAULT_TIMEOUT_MS
    this._maxAnswerAgeMs = options.maxAnswerAgeMs ?? Infinity
  }

  get health (): StoreHealth {
    return this._circuitBreaker.health
  }

  get usage (): StoreUsage {
    return { ...this._usage, budgetUsed: this._bucket.getUsedShare(performance.now()) }
  }

  get (key: string): Promise<GetOutcome> {
    return this._read(() => this._store.get(key))
  }

  list (prefix: string): Promise<ListOutcome> {
    return this._read(() => this._store.list(prefix))
  }

  put (request: PutRequest): Promise<PutOutcome> {
    return this._callStore<PutOutcome>('writes', () => this._store.put(request), request.isLeadershipWrite === true)
  }

  putMany (requests: readonly PutRequest[]): Promise<PutManyOutcome> {
    return this._callStore<PutManyOutcome>('writes', () => this._store.putMany(requests))
  }

  remove (key: string, expect: Expectation): Promise<RemoveOutcome> {
    return this._callStore<RemoveOutcome>('writes', () => this._store.remove(key, expect))
  }

  transact (transaction: Transaction): Promise<TransactOutcome> {
    return this._callStore<TransactOutcome>('writes', () => this._store.transact(transaction))
  }

  grantLease (ttlMs: number): Promise<LeaseOutcome> {
    return this._callStore<LeaseOutcome>('leases', () => this._store.grantLease(ttlMs), true)
  }

  renewLease (leaseId: string): Promise<LeaseOutcome> {
    return this._callStore<LeaseOutcome>('leases', () => this._store.renewLease(leaseId), true)
  }

  revokeLease (leaseId: string): Promise<LeaseOutcome> {
    return this._callStore<LeaseOutcome>('leases', () => this._store.revokeLease(leaseId), true)
  }

  watch (prefix: string, fromRevision: number, listener: WatchListener, options?: WatchOptions): Watch {
    this._usage.watchesOpened++
    this._usage.openWatches++
    let isOpen = true
    const end = (): void => {
      if (isOpen) this._usage.openWatches--
      isOpen = false
    }
    const onEnd = (message: string): void => {
      end()
      listener.onEnd(message)
    }
    const watch = this._store.watch(prefix, fromRevision, {
      onEvents: events => listener.onEvents(events),
      onConfirm: storeRevision => listener.onConfirm?.(storeRevision),
      onEnd
    }, options)
    return { close: () => { end(); watch.close() } }
  }

  close (): Promise<void> {
    this._isClosed = true
    clearTimeout(this._probeTimer)
    return this._store.close()
  }

  private async _read<T extends { kind: string }> (call: () => Promise<T | Unavailable>): Promise<T | Unavailable> {
    const outcome = await this._callStore('reads', call)
    return outcome.kind === 'ambiguous' ? { kind: 'unavailable', message: (outcome as Ambiguous).message } : outcome as T | Unavailable
  }

  private async _callStore<T extends { kind: string }> (kind: CallKind, call: () => Promise<T>, usesLeaseBudget = false): Promise<T | Unavailable | Ambiguous> {
    const refusal = this._checkAdmission(usesLeaseBudget ? this._leaseBucket : this._bucket)
    if (refusal !== undefined) return refusal
    if (kind === 'writes' && !usesLeaseBudget && this._isCheckDue() && !await this._checkStoreAnswers()) {
      return { kind: 'unavailable', message: 'the store does not answer reads; the write was not sent' }
    }
    this._usage[kind]++
    const startedAt = performance.now()
    const outcome = await this._waitWithTimeout(call())
    this._recordOutcome(outcome.kind !== 'unavailable' && outcome.kind !== 'ambiguous', startedAt)
    return outcome
  }

  private _recordOutcome (isAnswered: boolean, startedAt: number): void {
    if (isAnswered) {
      this._answeredAt = performance.now()
      return this._circuitBreaker.recordAnswer(this._answeredAt - startedAt)
    }
    const probeDelayMs = this._circuitBreaker.fail()
    if (this._circuitBreaker.isOpen && !this._isClosed) this._scheduleProbe(probeDelayMs)
  }

  /** Probes the store after a delay, unless a probe is already scheduled; while the circuit stays open, each failed probe schedules the next. */
  private _scheduleProbe (delayMs: number): void {
    if (this._probeTimer !== undefined) return
    this._probeTimer = setTimeout(() => {
      this._probeTimer = undefined
      void this._checkStoreAnswers()
    }, delayMs).unref()
  }

  private _isCheckDue (): boolean {
    return this._circuitBreaker.isSuspect || performance.now() - this._answeredAt > this._maxAnswerAgeMs
  }

  /** Reads a key to find out whether the store answers, and records the result. */
  private async _checkStoreAnswers (): Promise<boolean> {
    this._usage.reads++
    const startedAt = performance.now()
    const outcome = await this._waitWithTimeout(this._store.get(PROBE_KEY))
    this._recordOutcome(outcome.kind === 'ok', startedAt)
    return outcome.kind === 'ok'
  }

  private _checkAdmission (bucket: TokenBucket): Unavailable | undefined {
    const now = performance.now()
    if (this._circuitBreaker.isOpen) {
      this._usage.rejectedByCircuit++
      return { kind: 'unavailable', message: 'the store has not answered lately; not sent' }
    }
    if (bucket.tryTake(now)) return undefined
    this._usage.overBudget++
    return { kind: 'unavailable', message: 'over the call budget of this process; not sent' }
  }

  private async _waitWithTimeout<T> (call: Promise<T>): Promise<T | Ambiguous> {
    let timer: NodeJS.Timeout | undefined
    const timeout = new Promise<Ambiguous>(resolve => {
      timer = setTimeout(() => resolve({ kind: 'ambiguous', message: `the store gave no answer within ${this._timeoutMs} ms` }), this._timeoutMs)
    })
    const outcome = await Promise.race([call, timeout])
    clearTimeout(timer)
    return outcome
  }
}
