/**
 * Faults of the key-value stand-in, switched on and off by tests.
 */

/** What the store does wrong now. */
export interface StoreFaults {
  /** Takes no call at all. */
  isDown: boolean
  /** Milliseconds that each call waits before it takes effect. */
  delayMs: number
  /** Milliseconds that each answer waits after the call has taken effect. */
  answerDelayMs: number
  /** Number of writes to come that take effect and whose answer is lost. */
  loseAnswers: number
  /** Watches bring nothing while set; the changes are skipped, not kept. */
  skipWatchEvents: boolean
}

/** Creates the state without faults. */
export function createStoreFaults (): StoreFaults {
  return { isDown: false, delayMs: 0, answerDelayMs: 0, loseAnswers: 0, skipWatchEvents: false }
}

/** Calls by kind since the start; a watch counts once when it opens. */
export interface StoreCallCounts {
  reads: number
  writes: number
  leases: number
  watches: number
}

/** Creates counters at zero. */
export function createCallCounts (): StoreCallCounts {
  return { reads: 0, writes: 0, leases: 0, watches: 0 }
}
