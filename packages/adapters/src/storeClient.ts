/**
 * The store client of the processes: a rate limit, timeouts and a circuit breaker around an adapter, with counts of calls by kind.
 * A call that exceeds the rate limit, or is made while the circuit is open, is not sent, so that its outcome is `unavailable` even for a write.
 * After a call without an answer, and optionally after a time without calls, a write is sent only once the store has answered a read: an
 * unanswered read is harmless, but an unanswered write leaves its caller without an outcome. Callers share this read, and may wait a bounded time for it or
 * for the store's return. A call that was sent before one that was answered says nothing about the store any more when it times out.
 * Calls for leases have a rate limit of their own, so that many other calls cannot make a process lose its leadership. Reads that clients ask for take at most half
 * of the rate limit, so that a client that asks for many unknown keys does not keep others from writing.
 */
import type { Random } from '@dragonflylever/core'

import { CircuitBreaker } from './circuitBreaker.js'
import type { Ambiguous, Expectation, GetOutcome, LeaseOutcome, ListOutcome, PutManyOutcome, PutOutcome, PutRequest, RemoveOutcome, Store, StoreHealth, TransactOutcome, Transaction, Unavailable, WaitOptions, Watch, WatchListener, WatchOptions } from './store.js'
import { TokenBucket } from './tokenBucket.js'

const DEFAULT_RATE_PER_S = 10
const DEFAULT_BURST = 40
const DEFAULT_TIMEOUT_MS = 1_500
/** Rate limit of lease calls and of writes of leader keys: enough to renew the leases of two leader roles every 1.5 s and sometimes acquire one again. */
const LEASE_CALL_RATE = { ratePerS: 4, burst: 12 } as const
/** Share of the rate limit that reads may take whose callers pass wait options: the reads that clients ask for. */
const CLIENT_READ_SHARE = 0.5
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
  /** Timeout of a list, in milliseconds, for stores that bound the silence within a list themselves; `callTimeoutMs` if absent. */
  readonly listTimeoutMs?: number
  /** Maximum back-off after which a store that does not answer is probed again, in milliseconds. */
  readonly maxPauseMs?: number
  /** Time since the store's last answer after which a write is preceded by a read, in milliseconds; absent for no limit. */
  readonly maxAnswerAgeMs?: number
}

type CallKind = 'reads' | 'writes' | 'leases'

/** How a call is admitted: from which rate limit it is taken, and how long it may wait. */
interface AdmissionOptions {
  readonly usesLeaseBudget?: boolean
  readonly wait?: WaitOptions | undefined
  /** Timeout of the call, in milliseconds; that of the client if absent. */
  readonly timeoutMs?: number
}

export class StoreClient implements Store {
  private readonly _store: Store
  private readonly _bucket: TokenBucket
  private readonly _leaseBucket: TokenBucket
  private readonly _clientReadBucket: TokenBucket
  private readonly _circuitBreaker: CircuitBreaker
  private readonly _timeoutMs: number
  private readonly _listTimeoutMs: number
  private readonly _maxAnswerAgeMs: number
  private _answeredAt = -Infinity
  /** When the latest call that was answered was sent. */
  private _answeredCallAt = -Infinity
  /** When the first call was sent that the store has left unanswered; undefined while the last call was answered. */
  private _silentSince: number | undefined
  /** The read that is under way to find out whether the store answers. */
  private _check: Promise<boolean> | undefined
  /** Called when the store answers a call. */
  private readonly _waiting = new Set<() => void>()
  private _probeTimer: NodeJS.Timeout | undefined
  private _isClosed = false
  private readonly _usage = { reads: 0, writes: 0, leases: 0, watchesOpened: 0, openWatches: 0, overBudget: 0, rejectedByCircuit: 0 }

  constructor (options: StoreClientOptions) {
    const rate = { ratePerS: options.ratePerS ?? DEFAULT_RATE_PER_S, burst: options.burst ?? DEFAULT_BURST }
    this._store = options.store
    this._bucket = new TokenBucket(rate, performance.now())
    this._leaseBucket = new TokenBucket(LEASE_CALL_RATE, performance.now())
    this._clientReadBucket = new TokenBucket({ ratePerS: rate.ratePerS * CLIENT_READ_SHARE, burst: rate.burst * CLIENT_READ_SHARE }, performance.now())
    this._circuitBreaker = new CircuitBreaker(options.random, options.maxPauseMs)
    this._timeoutMs = options.callTimeoutMs ?? DEFAULT_TIMEOUT_MS
    this._listTimeoutMs = options.listTimeoutMs ?? this._timeoutMs
    this._maxAnswerAgeMs = options.maxAnswerAgeMs ?? Infinity
  }

  get health (): StoreHealth {
    return this._circuitBreaker.health
  }

  get usage (): StoreUsage {
    return { ...this._usage, budgetUsed: this._bucket.getUsedShare(performance.now()) }
  }

  /** Time since the first call that the store left unanswered, in milliseconds; undefined if the store answered since. */
  get outageMs (): number | undefined {
    return this._silentSince === undefined ? undefined : performance.now() - this._silentSince
  }

  /** Records that the store answered a call that was not made through this client, after `elapsedMs` milliseconds. */
  recordAnswer (elapsedMs: number): void {
    this._recordOutcome(true, performance.now() - elapsedMs)
  }

  async get (key: string, wait?: WaitOptions): Promise<GetOutcome> {
    if (wait !== undefined && !this._clientReadBucket.tryTake(performance.now())) return this._refuseOverBudget()
    return this._read(() => this._store.get(key), wait)
  }

  list (prefix: string): Promise<ListOutcome> {
    return this._read(() => this._store.list(prefix), undefined, this._listTimeoutMs)
  }

  put (request: PutRequest): Promise<PutOutcome> {
    return this._callStore<PutOutcome>('writes', () => this._store.put(request), { usesLeaseBudget: request.isLeadershipWrite === true })
  }

  putMany (requests: readonly PutRequest[]): Promise<PutManyOutcome> {
    return this._callStore<PutManyOutcome>('writes', () => this._store.putMany(requests))
  }

  remove (key: string, expect: Expectation): Promise<RemoveOutcome> {
    return this._callStore<RemoveOutcome>('writes', () => this._store.remove(key, expect))
  }

  transact (transaction: Transaction, wait?: WaitOptions): Promise<TransactOutcome> {
    return this._callStore<TransactOutcome>('writes', () => this._store.transact(transaction), { wait })
  }

  grantLease (ttlMs: number): Promise<LeaseOutcome> {
    return this._callStore<LeaseOutcome>('leases', () => this._store.grantLease(ttlMs), { usesLeaseBudget: true })
  }

  renewLease (leaseId: string): Promise<LeaseOutcome> {
    return this._callStore<LeaseOutcome>('leases', () => this._store.renewLease(leaseId), { usesLeaseBudget: true })
  }

  revokeLease (leaseId: string): Promise<LeaseOutcome> {
    return this._callStore<LeaseOutcome>('leases', () => this._store.revokeLease(leaseId), { usesLeaseBudget: true })
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
      onConfirm: (storeRevision, callStartedAt) => listener.onConfirm?.(storeRevision, callStartedAt),
      onFailure: (message, elapsedMs) => listener.onFailure?.(message, elapsedMs),
      onEnd
    }, options)
    return { close: () => { end(); watch.close() } }
  }

  close (): Promise<void> {
    this._isClosed = true
    clearTimeout(this._probeTimer)
    return this._store.close()
  }

  private async _read<T extends { kind: string }> (call: () => Promise<T | Unavailable>, wait?: WaitOptions, timeoutMs = this._timeoutMs): Promise<T | Unavailable> {
    const outcome = await this._waitAtMost<T | Unavailable | Ambiguous>(this._callStore('reads', call, { wait, timeoutMs }), wait?.maxReadWaitMs, 'the store does not answer')
    return outcome.kind === 'ambiguous' ? this._makeUnavailable((outcome as Ambiguous).message) : outcome as T | Unavailable
  }

  private async _callStore<T extends { kind: string }> (kind: CallKind, call: () => Promise<T>, options: AdmissionOptions = {}): Promise<T | Unavailable | Ambiguous> {
    const { usesLeaseBudget = false, wait, timeoutMs } = options
    if (this._circuitBreaker.isOpen && wait !== undefined) await this._waitForReturn(wait.maxOutageWaitMs)
    const refusal = this._checkAdmission(usesLeaseBudget ? this._leaseBucket : this._bucket)
    if (refusal !== undefined) return refusal
    if (kind === 'writes' && !usesLeaseBudget && this._isCheckDue()) {
      const checked = await this._waitAtMost(this._checkStoreAnswers(), wait?.maxReadWaitMs, '')
      if (checked !== true) return this._makeUnavailable('the store does not answer reads; the write was not sent')
    }
    this._usage[kind]++
    const startedAt = performance.now()
    const outcome = await this._waitWithTimeout(call(), timeoutMs)
    this._recordOutcome(outcome.kind !== 'unavailable' && outcome.kind !== 'ambiguous', startedAt)
    return outcome.kind === 'unavailable' ? this._makeUnavailable((outcome as unknown as Unavailable).message) : outcome
  }

  /** Records whether the store answered a call that was sent at `startedAt`. */
  private _recordOutcome (isAnswered: boolean, startedAt: number): void {
    if (isAnswered) {
      this._answeredAt = performance.now()
      this._answeredCallAt = Math.max(this._answeredCallAt, startedAt)
      this._silentSince = undefined
      this._circuitBreaker.recordAnswer(this._answeredAt - startedAt)
      for (const resume of this._waiting) resume()
      return
    }
    if (startedAt < this._answeredCallAt) return this._circuitBreaker.recordLateFailure()
    this._silentSince = Math.min(this._silentSince ?? Infinity, startedAt)
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

  /**
   * Reads a key to find out whether the store answers, and records the result. Joins a read for this purpose that is already under way. Resolves with true as
   * soon as the store answers any call.
   */
  private _checkStoreAnswers (): Promise<boolean> {
    this._check ??= new Promise<boolean>(resolve => {
      const resume = (): void => resolve(true)
      this._waiting.add(resume)
      void this._readProbeKey().then(isAnswered => {
        this._waiting.delete(resume)
        resolve(isAnswered)
      })
    }).finally(() => { this._check = undefined })
    return this._check
  }

  private async _readProbeKey (): Promise<boolean> {
    this._usage.reads++
    const startedAt = performance.now()
    const outcome = await this._waitWithTimeout(this._store.get(PROBE_KEY))
    this._recordOutcome(outcome.kind === 'ok', startedAt)
    return outcome.kind === 'ok'
  }

  private _checkAdmission (bucket: TokenBucket): Unavailable | undefined {
    if (this._circuitBreaker.isOpen) {
      this._usage.rejectedByCircuit++
      return this._makeUnavailable('the store has not answered lately; not sent')
    }
    return bucket.tryTake(performance.now()) ? undefined : this._refuseOverBudget()
  }

  private _refuseOverBudget (): Unavailable {
    this._usage.overBudget++
    return this._makeUnavailable('over the call budget of this process; not sent')
  }

  /** Resolves when the store has answered a call, and otherwise after `maxMs` milliseconds. */
  private async _waitForReturn (maxMs: number): Promise<void> {
    if (maxMs <= 0) return
    await new Promise<void>(resolve => {
      const resume = (): void => {
        clearTimeout(timer)
        this._waiting.delete(resume)
        resolve()
      }
      const timer = setTimeout(resume, maxMs)
      this._waiting.add(resume)
    })
  }

  /** Waits for a call at most `maxMs` milliseconds, without a limit if undefined. The call goes on, so that its outcome is still recorded. */
  private async _waitAtMost<T> (call: Promise<T>, maxMs: number | undefined, message: string): Promise<T | Unavailable> {
    if (maxMs === undefined) return call
    let timer: NodeJS.Timeout | undefined
    const timeout = new Promise<Unavailable>(resolve => { timer = setTimeout(() => resolve(this._makeUnavailable(message)), maxMs) })
    const outcome = await Promise.race([call, timeout])
    clearTimeout(timer)
    return outcome
  }

  private _makeUnavailable (message: string): Unavailable {
    const { outageMs } = this
    return { kind: 'unavailable', message, ...(outageMs === undefined ? {} : { outageMs }) }
  }

  private async _waitWithTimeout<T> (call: Promise<T>, timeoutMs = this._timeoutMs): Promise<T | Ambiguous> {
    let timer: NodeJS.Timeout | undefined
    const timeout = new Promise<Ambiguous>(resolve => {
      timer = setTimeout(() => resolve({ kind: 'ambiguous', message: `the store gave no answer within ${timeoutMs} ms` }), timeoutMs)
    })
    const outcome = await Promise.race([call, timeout])
    clearTimeout(timer)
    return outcome
  }
}
