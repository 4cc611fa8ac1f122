/**
 * A worker's clock and lease, as its agent may count on them. Every figure errs to the safe side: the estimate of the clock is
 * never ahead of it, and the lease that may be left is never too short.
 */

/** A worker's clock may be this much slower than true time, by the platform's protocol. */
export const SLOWEST_CLOCK = 0.98

export class WorkerClock {
  private _clockMs = 0
  private _notedAt = 0
  private _permittedUntil = 0
  private _leaseUntil = 0

  /** End of the lease that the planner permits, on the worker's clock. */
  get permittedUntil (): number {
    return Math.floor(this._permittedUntil)
  }

  /** Notes what the worker's clock said in an answer; answers may overtake each other. */
  note (clockMs: number, now: number): void {
    if (clockMs < this.estimate(now)) return
    this._clockMs = clockMs
    this._notedAt = now
  }

  /** Returns the worker's clock, or less. */
  estimate (now: number): number {
    return this._clockMs + (now - this._notedAt) * SLOWEST_CLOCK
  }

  /** Permits the lease to be extended up to a time of the worker's clock. */
  permit (until: number): void {
    this._permittedUntil = Math.max(this._permittedUntil, until)
  }

  /** Notes a lease that was sent and may have been taken. */
  noteLease (until: number): void {
    this._leaseUntil = Math.max(this._leaseUntil, until)
  }

  /** Returns how long the worker's runs may still live without any further permission, in milliseconds. */
  computeLeaseLeft (now: number): number {
    return Math.max(0, this._permittedUntil - this.estimate(now), this._leaseUntil - this.estimate(now))
  }
}
