/**
 * Interface of the queue of requests that wait for a slot, used by entry and agent. Implementations decide the order.
 */
import type { NotRunReason } from './outcome.js'

/** Properties of a request that the queue uses. Times are milliseconds of the process's monotonic clock. */
export interface QueuedRequest {
  readonly id: string
  readonly className: string
  readonly organisation: string
  readonly caller: string
  readonly arrivedAt: number
  readonly deadlineAt: number
}

/** A request that the queue has shed, with the reason that is reported to its caller. */
export interface ShedRequest {
  readonly id: string
  readonly reason: NotRunReason
  readonly retryAfterMs: number
}

/** Result of {@link RequestQueue.offer}: the request was queued, and other requests may have been shed for it, or the request was refused. */
export type OfferResult =
  | { readonly kind: 'queued', readonly shed: readonly ShedRequest[] }
  | { readonly kind: 'refused', readonly reason: NotRunReason, readonly retryAfterMs: number }

/** Decides which request runs next. All times are passed in; implementations read no clock. */
export interface RequestQueue {
  /** Adds a request, or refuses it. */
  offer (request: QueuedRequest, now: number): OfferResult
  /** Removes and returns the request to start next; undefined when no slot is free or no request may start now. */
  take (now: number): QueuedRequest | undefined
  /** Removes a cancelled or withdrawn request. Returns true when the request was waiting. */
  remove (id: string): boolean
  /** Removes and returns the requests whose deadline has passed. */
  expire (now: number): QueuedRequest[]
  /** Records that a request taken from the queue has released its slot after `ranMs` milliseconds. */
  finish (request: QueuedRequest, ranMs: number, now: number): void
  /** Number of waiting requests. */
  readonly size: number
}
