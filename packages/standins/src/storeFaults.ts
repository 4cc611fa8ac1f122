/**
 * Faults of the key-value store stand-in, which tests switch on and off.
 */

/** Faults that the store injects at present. */
export interface StoreFaults {
  /** While true, every call fails. `MemoryStore` ends a watch when the next change for it occurs; `StoreStandIn.setDown` ends all watches immediately. */
  isDown: boolean
  /** Delay before each call takes effect, in milliseconds. */
  delayMs: number
  /** Delay of the answer to a write or lease call after it has taken effect, in milliseconds; only in `MemoryStore`. */
  answerDelayMs: number
  /** Number of writes that will take effect but whose answers will be lost. In `MemoryStore`, lease calls count as well. */
  loseAnswers: number
  /** While true, watches deliver no events, and the changes made meanwhile are not delivered later either. */
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
