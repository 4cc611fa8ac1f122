/**
 * Faults of the key-value store stand-in, which tests switch on and off.
 */

/** Faults that the store injects at present. */
export interface StoreFaults {
  /** While true, every call fails. `MemoryStore` ends each watch at its next change; `StoreStandIn.setDown` ends all watches at once. */
  isDown: boolean
  /** Delay before each call takes effect, in milliseconds. */
  delayMs: number
  /** Delay of the answer to a write or lease call after it has taken effect, in milliseconds; only in `MemoryStore`. */
  answerDelayMs: number
  /** Number of further writes that take effect but whose answer is lost; `MemoryStore` also loses answers to lease calls. */
  loseAnswers: number
  /** While set, watches deliver nothing; the changes are skipped and not delivered later. */
  skipWatchEvents: boolean
}

/** Creates a set of faults in which no fault is switched on. */
export function createStoreFaults (): StoreFaults {
  return { isDown: false, delayMs: 0, answerDelayMs: 0, loseAnswers: 0, skipWatchEvents: false }
}

/** Number of calls by kind since the start; a watch counts once, when it is opened. */
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
