/**
 * An agent's estimates of a worker's clock and of the remaining time of the worker's lease. Both err on the safe side: the estimated clock is
 * never ahead of the worker's clock, and the estimated remaining time is never shorter than the real one.
 */

/** Lowest rate at which a worker's clock may run relative to true time, according to the platform's protocol. */
export const MIN_CLOCK_RATE = 0.98

export class WorkerClock {
  private readonly _inheritedLeaseMs: number
  private readonly _createdAt: number
  private _clockMs: number
  private _updatedAt: number
  private _permittedUntil = 0
  private _leaseUntil = 0

  /**
   * `clockMs` is a reading of the worker's clock, not taken after `now`, the monotonic time of creation. `inheritedLeaseMs` is the longest lease that an
   * earlier process of the agent may have given the worker just before `now`: a process that has started does not know what its predecessor did.
   */
  constructor (clockMs: number, inheritedLeaseMs: number, now: number) {
    this._clockMs = clockMs
    this._updatedAt = now
    this._inheritedLeaseMs = inheritedLeaseMs
    this._createdAt = now
  }

  /** Time up to which the planner permits the lease to be extended, in milliseconds of the worker's clock. */
  get permittedUntil (): number {
    return Math.floor(this._permittedUntil)
  }

  /** Applies the clock reading in an answer of the worker. Answers may arrive out of order, so a reading below the estimate is ignored. */
  applyReading (clockMs: number, now: number): void {
    if (clockMs < this.estimateClock(now)) return
    this._clockMs = clockMs
    this._updatedAt = now
  }

  /** Returns a lower bound of the worker's clock at the monotonic time `now`, both in milliseconds. */
  estimateClock (now: number): number {
    return this._clockMs + (now - this._updatedAt) * MIN_CLOCK_RATE
  }

  /** Records that the planner permits the lease to be extended up to the given time of the worker's clock. */
  permitLease (until: number): void {
    this._permittedUntil = Math.max(this._permittedUntil, until)
  }

  /** Records the expiry time, on the worker's clock, of a lease that was sent to the worker and may have taken effect. */
  recordLeaseExpiry (until: number): void {
    this._leaseUntil = Math.max(this._leaseUntil, until)
  }

  /** Returns the maximum time for which the worker's runs may continue if the planner gives no further permission, in milliseconds. */
  computeMaxLeaseLeft (now: number): number {
    const inheritedLeft = this._inheritedLeaseMs - (now - this._createdAt) * MIN_CLOCK_RATE
    return Math.max(0, inheritedLeft, this._permittedUntil - this.estimateClock(now), this._leaseUntil - this.estimateClock(now))
  }
}
