/**
 * Token bucket: a budget that refills at a steady rate up to a bound.
 */

const MS_PER_S = 1_000

export class TokenBucket {
  private _perSecond: number
  private _tokens: number
  private _filledAt = 0

  /** Starts full; the bound is the refill of one second. */
  constructor (perSecond: number) {
    this._perSecond = perSecond
    this._tokens = perSecond
  }

  /** Changes the rate; what is there stays within the new bound. */
  setRate (perSecond: number): void {
    this._perSecond = perSecond
    this._tokens = Math.min(this._tokens, perSecond)
  }

  /** True when `cost` can be taken now. */
  has (cost: number, now: number): boolean {
    this._refresh(now)
    return this._tokens >= cost
  }

  /** Takes `cost` when it is there; true when it was. */
  take (cost: number, now: number): boolean {
    if (!this.has(cost, now)) return false
    this._tokens -= cost
    return true
  }

  private _refresh (now: number): void {
    const refill = Math.max(0, now - this._filledAt) * this._perSecond / MS_PER_S
    this._tokens = Math.min(this._perSecond, this._tokens + refill)
    this._filledAt = Math.max(this._filledAt, now)
  }
}
