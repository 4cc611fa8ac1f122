/**
 * How long the parts of a client's call may last.
 */
import type { WaitOptions } from '@dragonflylever/adapters'
import type { RoutedQueue } from '@dragonflylever/core/graphs/index'

/** How long before the client's deadline the retries end, in milliseconds, so that the answer reaches the client in time. */
export const ANSWER_MARGIN_MS = 150
/** Maximum time for retries of a store call, in milliseconds; after that, a client that retries at another entry succeeds sooner. */
const STORE_DECISION_MS = 900
/**
 * Maximum time for which a call waits for a store that is known to be unavailable, in milliseconds: enough for the probe that finds the store back and its answer
 * from another region. It also is at most the share {@link OUTAGE_WAIT_SHARE} of the target latency of the call's queue.
 */
const OUTAGE_WAIT_MS = 250
const OUTAGE_WAIT_SHARE = 0.25

/** Times up to which parts of a call may last, in milliseconds of the monotonic clock. */
export interface CallTimes {
  /** Up to when the call waits for a store that is known to be unavailable. */
  readonly outageUntil: number
  /** Up to when the call waits for a read, and retries a write that may have been carried out. */
  readonly retryUntil: number
  /** Up to when the call must be answered so that the answer reaches the client in time. */
  readonly answerUntil: number
}

/** Computes the times of a call that starts now; `deadlineAt` is up to when its client waits, in milliseconds of the monotonic clock. */
export function computeCallTimes (deadlineAt: number, queue: RoutedQueue): CallTimes {
  const now = performance.now()
  const answerUntil = deadlineAt - ANSWER_MARGIN_MS
  return {
    outageUntil: Math.min(answerUntil, now + Math.min(OUTAGE_WAIT_MS, queue.targetLatencyMs * OUTAGE_WAIT_SHARE)),
    retryUntil: Math.min(answerUntil, now + STORE_DECISION_MS),
    answerUntil
  }
}

/** Returns how long a store call may be held that waits for an unavailable store until `outageUntil`, and for a read until `readUntil`. */
export function makeWaitOptions (outageUntil: number, readUntil: number): WaitOptions {
  const now = performance.now()
  return { maxOutageWaitMs: Math.max(0, outageUntil - now), maxReadWaitMs: Math.max(0, readUntil - now) }
}
