/**
 * The queue of requests that wait for a slot. Entry and agent use the same interface; implementations decide the order.
 */
import type { NotRunReason } from './outcome.js'

/** What the queue needs to know of a request. Times are milliseconds of the process's monotonic clock. */
export interface QueuedRequest {
  readonly id: string
  readonly className: string
  readonly organisation: string
  readonly caller: string
  readonly arrivedAt: number
  readonly deadlineAt: number
}

/** A request that the queue gave up, with the reason to tell its caller. */
export interface ShedRequest {
  readonly id: string
  readonly reason: NotRunReason
  readonly retryAfterMs: number
}

/** Answer to an offer: queued (perhaps at the expense of others), or refused. */
export type OfferResult =
  | { readonly kind: 'queued', readonly shed: readonly ShedRequest[] }
  | { readonly kind: 'refused', readonly reason: NotRunReason, readonly retryAfterMs: number }

/** Decides which request runs next. All times are passed in; implementations read no clock. */
export interface RequestQueue {
  /** Adds a request. */
  offer (request: QueuedRequest, now: number): OfferResult
  /** Takes the request to start next when a slot is free; undefined when none may start now. */
  take (now: number): QueuedRequest | undefined
  /** Removes a waiting request (cancelled, withdrawn); true when it was waiting. */
  remove (id: string): boolean
  /** Removes and returns requests whose deadline has passed. */
  expire (now: number): QueuedRequest[]
  /** Notes that a taken request has left its slot after `ranMs` milliseconds. */
  finish (request: QueuedRequest, ranMs: number, now: number): void
  /** Number of waiting requests. */
  readonly size: number
}
