/**
 * Ages that hold also after a suspension. The monotonic clock stands still while a host is suspended, and the time of day may
 * jump; the larger of both differences is taken.
 */

/** Both clocks at one moment, in milliseconds. */
export interface ClockReading {
  readonly monotonicMs: number
  readonly wallMs: number
}

/** Reads both clocks. */
export function readClocks (): ClockReading {
  return { monotonicMs: performance.now(), wallMs: Date.now() }
}

/** Returns the age of a reading, in milliseconds: never too small, unless the host was suspended and its time of day set back. */
export function measureAge (from: ClockReading, now: ClockReading): number {
  return Math.max(now.monotonicMs - from.monotonicMs, now.wallMs - from.wallMs)
}
