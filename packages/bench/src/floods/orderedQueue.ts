/**
 * Baseline: a bounded queue ordered by a key, without fair shares, guarantees or admission control.
 */
import { NotRunReason } from '@dragonflylever/core'
import type { OfferResult, QueuedRequest, RequestQueue } from '@dragonflylever/core'
import { IndexedHeap } from '@dragonflylever/core/fairness/indexedHeap'

const RETRY_AFTER_MS = 1_000

export interface OrderedQueueOptions {
  readonly maxWaiting: number
  readonly slots: number
  /** Returns the sort key of a request; the request with the smallest key is taken first. */
  readonly getSortKey: (request: QueuedRequest) => number
}

export class OrderedQueue implements RequestQueue {
  private readonly _options: OrderedQueueOptions
  private readonly _order: IndexedHeap<QueuedRequest>
  private readonly _byDeadline = new IndexedHeap<QueuedRequest>(request => request.deadlineAt)
  private readonly _byId = new Map<string, QueuedRequest>()
  private _running = 0

  constructor (options: OrderedQueueOptions) {
    this._options = options
    this._order = new IndexedHeap(options.getSortKey)
  }

  get size (): number {
    return this._order.size
  }

  offer (request: QueuedRequest): OfferResult {
    if (this.size >= this._options.maxWaiting) return { kind: 'refused', reason: NotRunReason.overloaded, retryAfterMs: RETRY_AFTER_MS }
    this._order.add(request)
    this._byDeadline.add(request)
    this._byId.set(request.id, request)
    return { kind: 'queued', shed: [] }
  }

  take (now: number): QueuedRequest | undefined {
    if (this._running >= this._options.slots) return undefined
    const next = this._order.first
    if (next === undefined || next.deadlineAt <= now) return undefined
    this.remove(next.id)
    this._running++
    return next
  }

  remove (id: string): boolean {
    const request = this._byId.get(id)
    if (request === undefined) return false
    this._byId.delete(id)
    this._order.remove(request)
    this._byDeadline.remove(request)
    return true
  }

  expire (now: number): QueuedRequest[] {
    const expired: QueuedRequest[] = []
    for (;;) {
      const first = this._byDeadline.first
      if (first === undefined || first.deadlineAt > now) return expired
      this.remove(first.id)
      expired.push(first)
    }
  }

  finish (): void {
    this._running--
  }
}
