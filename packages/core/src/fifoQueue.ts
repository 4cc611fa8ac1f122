/**
 * Bounded queue that serves requests in order of arrival: the baseline that other queue disciplines are compared with.
 */
import { NotRunReason } from './outcome.js'
import type { OfferResult, QueuedRequest, RequestQueue } from './requestQueue.js'

const RETRY_AFTER_MS = 1_000

/** Limits of a FIFO queue. */
export interface FifoQueueOptions {
  readonly maxWaiting: number
  readonly slots: number
}

export class FifoQueue implements RequestQueue {
  private readonly _waiting = new Map<string, QueuedRequest>()
  private readonly _options: FifoQueueOptions
  private _running = 0

  constructor (options: FifoQueueOptions) {
    this._options = options
  }

  get size (): number {
    return this._waiting.size
  }

  offer (request: QueuedRequest, now: number): OfferResult {
    if (request.deadlineAt <= now) {
      return { kind: 'refused', reason: NotRunReason.deadlinePassed, retryAfterMs: 0 }
    }
    if (this._waiting.size >= this._options.maxWaiting) {
      return { kind: 'refused', reason: NotRunReason.overloaded, retryAfterMs: RETRY_AFTER_MS }
    }
    this._waiting.set(request.id, request)
    return { kind: 'queued', shed: [] }
  }

  take (now: number): QueuedRequest | undefined {
    if (this._running >= this._options.slots) return undefined
    for (const request of this._waiting.values()) {
      if (request.deadlineAt <= now) continue
      this._waiting.delete(request.id)
      this._running++
      return request
    }
    return undefined
  }

  remove (id: string): boolean {
    return this._waiting.delete(id)
  }

  expire (now: number): QueuedRequest[] {
    const expired = [...this._waiting.values()].filter(request => request.deadlineAt <= now)
    for (const request of expired) this._waiting.delete(request.id)
    return expired
  }

  finish (): void {
    this._running--
  }
}
