/**
 * Measures ages that stay correct when the host is suspended. The monotonic clock does not advance during a suspension, and the
 * wall clock may be set forward or back, so the larger of the two differences is used.
 */

/** The values of both clocks at one moment, in milliseconds. */
export interface ClockReading {
  readonly monotonicMs: number
  readonly wallMs: number
}

/** Reads the monotonic clock and the wall clock. */
export function readClocks (): ClockReading {
  return { monotonicMs: performance.now(), wallMs: Date.now() }
}

/** Returns the age of a reading in milliseconds. The result is too small only if the host was suspended and its wall clock was set back since the reading. */
export function measureAge (from: ClockReading, now: ClockReading): number {
  return Math.max(now.monotonicMs - from.monotonicMs, now.wallMs - from.wallMs)
}
