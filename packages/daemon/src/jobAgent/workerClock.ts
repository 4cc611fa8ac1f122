/**
 * Conservative estimates of a worker's clock and lease, made by its agent. The estimated clock is never ahead of the worker's
 * clock, and the estimated remaining lease is never shorter than the real one.
 */

/** Lowest rate of a worker's clock relative to true time, given by the platform's protocol. */
export const MIN_CLOCK_RATE = 0.98

export class WorkerClock {
  private _clockMs = 0
  private _updatedAt = 0
  private _permittedUntil = 0
  private _leaseUntil = 0

  /** Time up to which the planner permits the lease to be extended, in milliseconds of the worker's clock. */
  get permittedUntil (): number {
    return Math.floor(this._permittedUntil)
  }

  /** Applies a clock reading from an answer. Answers may arrive out of order, so readings below the estimate are ignored. */
  update (clockMs: number, now: number): void {
    if (clockMs < this.estimate(now)) return
    this._clockMs = clockMs
    this._updatedAt = now
  }

  /** Returns a lower bound of the worker's clock, in milliseconds. */
  estimate (now: number): number {
    return this._clockMs + (now - this._updatedAt) * MIN_CLOCK_RATE
  }

  /** Permits extending the lease up to the given time of the worker's clock. */
  permitLease (until: number): void {
    this._permittedUntil = Math.max(this._permittedUntil, until)
  }

  /** Records the expiry time of a lease that was sent to the worker and may have taken effect. */
  recordLease (until: number): void {
    this._leaseUntil = Math.max(this._leaseUntil, until)
  }

  /** Returns the longest time for which the worker's runs may go on without further permission, in milliseconds. */
  computeMaxLeaseLeft (now: number): number {
    return Math.max(0, this._permittedUntil - this.estimate(now), this._leaseUntil - this.estimate(now))
  }
}
