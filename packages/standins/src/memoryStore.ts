/**
 * In-process key-value store stand-in: implements the `Store` interface directly on an engine and injects faults.
 * Several instances may share one engine, as several processes share one store.
 */
import { StoreHealth } from '@dragonflylever/adapters'
import type { Ambiguous, Expectation, GetOutcome, LeaseOutcome, ListOutcome, PutManyOutcome, PutOutcome, PutRequest, RemoveOutcome, Store, TransactOutcome, Transaction, Unavailable, Watch, WatchEvent, WatchListener, WatchOptions } from '@dragonflylever/adapters'

import { StoreEngine } from './storeEngine.js'
import { createCallCounts, createStoreFaults } from './storeFaults.js'
import type { StoreCallCounts, StoreFaults } from './storeFaults.js'

const UNAVAILABLE: Unavailable = { kind: 'unavailable', message: 'the store is down' }
const AMBIGUOUS: Ambiguous = { kind: 'ambiguous', message: 'the answer was lost' }

/** Engine, faults and counters of a store. Those that are absent are created; the stores of several processes may share the same ones. */
export interface MemoryStoreOptions {
  readonly engine?: StoreEngine
  readonly faults?: StoreFaults
  readonly counts?: StoreCallCounts
}

export class MemoryStore implements Store {
  readonly engine: StoreEngine
  readonly faults: StoreFaults
  readonly counts: StoreCallCounts
  private readonly _watches = new Map<Watch, WatchListener>()

  constructor (options: MemoryStoreOptions = {}) {
    this.engine = options.engine ?? new StoreEngine()
    this.faults = options.faults ?? createStoreFaults()
    this.counts = options.counts ?? createCallCounts()
  }

  get health (): StoreHealth {
    return this.faults.isDown ? StoreHealth.down : StoreHealth.up
  }

  async get (key: string): Promise<GetOutcome> {
    this.counts.reads++
    await this._wait(this.faults.delayMs)
    if (this.faults.isDown) return UNAVAILABLE
    return { kind: 'ok', value: this.engine.get(key), storeRevision: this.engine.revision }
  }

  async list (prefix: string): Promise<ListOutcome> {
    this.counts.reads++
    await this._wait(this.faults.delayMs)
    if (this.faults.isDown) return UNAVAILABLE
    return { kind: 'ok', values: this.engine.list(prefix), storeRevision: this.engine.revision }
  }

  async put (request: PutRequest): Promise<PutOutcome> {
    return this._performWrite(() => this.engine.put(request))
  }

  async putMany (requests: readonly PutRequest[]): Promise<PutManyOutcome> {
    return this._performWrite(() => ({ kind: 'ok', results: requests.map(request => this.engine.put(request)) }))
  }

  async remove (key: string, expect: Expectation): Promise<RemoveOutcome> {
    return this._performWrite(() => this.engine.remove(key, expect))
  }

  async transact (transaction: Transaction): Promise<TransactOutcome> {
    return this._performWrite<TransactOutcome>(() => this.engine.transact(transaction))
  }

  async grantLease (ttlMs: number): Promise<LeaseOutcome> {
    return this._performLeaseCall(() => ({ kind: 'ok', leaseId: this.engine.grantLease(ttlMs), ttlMs }))
  }

  async renewLease (leaseId: string): Promise<LeaseOutcome> {
    return this._performLeaseCall(() => {
      const ttlMs = this.engine.renewLease(leaseId)
      return ttlMs === undefined ? { kind: 'expired' } : { kind: 'ok', leaseId, ttlMs }
    })
  }

  async revokeLease (leaseId: string): Promise<LeaseOutcome> {
    return this._performLeaseCall(() => this.engine.revokeLease(leaseId) ? { kind: 'ok', leaseId, ttlMs: 0 } : { kind: 'expired' })
  }

  /** Watches a prefix. With `maxSilenceMs`, the watch confirms twice in that time that it has delivered all changes, unless it has left some out. */
  watch (prefix: string, fromRevision: number, listener: WatchListener, { maxSilenceMs }: WatchOptions = {}): Watch {
    this.counts.watches++
    let hasSkipped = false
    const notifyConfirmed = (): void => { if (!this.faults.isDown && !hasSkipped) listener.onConfirm?.(this.engine.revision, { monotonicMs: performance.now(), wallMs: Date.now() }) }
    const timer = maxSilenceMs === undefined ? undefined : setInterval(notifyConfirmed, maxSilenceMs / 2)
    const send = (events: readonly WatchEvent[]): void => {
      if (!this._watches.has(watch) || events.length === 0) return
      hasSkipped ||= this.faults.skipWatchEvents
      if (this.faults.skipWatchEvents) return
      if (!this.faults.isDown) return listener.onEvents(events)
      watch.close()
      listener.onEnd('the store is down')
    }
    const stop = this.engine.subscribe(event => {
      const key = event.kind === 'put' ? event.value.key : event.key
      if (key.startsWith(prefix)) queueMicrotask(() => send([event]))
    })
    const watch = { close: () => { stop(); clearInterval(timer); this._watches.delete(watch) } }
    this._watches.set(watch, listener)
    queueMicrotask(() => this.faults.isDown ? listener.onEnd('the store is down') : send(this.engine.readHistory(prefix, fromRevision)))
    return watch
  }

  async close (): Promise<void> {
    for (const watch of this._watches.keys()) watch.close()
  }

  /** Ends all watches, as the store client does when nothing has arrived on a watch for too long. */
  endWatches (): void {
    for (const [watch, listener] of [...this._watches]) {
      watch.close()
      listener.onEnd('nothing arrived on the watch for too long')
    }
  }

  private async _performWrite<T> (decide: () => T): Promise<T | Unavailable | Ambiguous> {
    this.counts.writes++
    return this._performWithFaults(decide)
  }

  private _performLeaseCall (decide: () => LeaseOutcome): Promise<LeaseOutcome> {
    this.counts.leases++
    return this._performWithFaults(decide)
  }

  private async _performWithFaults<T> (decide: () => T): Promise<T | Unavailable | Ambiguous> {
    await this._wait(this.faults.delayMs)
    if (this.faults.isDown) return UNAVAILABLE
    const result = decide()
    await this._wait(this.faults.answerDelayMs)
    if (this.faults.loseAnswers <= 0) return result
    this.faults.loseAnswers--
    return AMBIGUOUS
  }

  private async _wait (ms: number): Promise<void> {
    if (ms <= 0) return
    await new Promise(resolve => setTimeout(resolve, ms))
  }
}
