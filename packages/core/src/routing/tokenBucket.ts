/**
 * Token bucket: a budget that is refilled at a steady rate up to a limit.
 */

const MS_PER_S = 1_000

export class TokenBucket {
  private _perSecond: number
  private _tokens: number
  private _refilledAt = 0

  /** Creates a full bucket. `perSecond` is both the number of tokens added each second and the maximum number. */
  constructor (perSecond: number) {
    this._perSecond = perSecond
    this._tokens = perSecond
  }

  /** Changes the rate; tokens beyond the new limit are dropped. */
  setRate (perSecond: number): void {
    this._perSecond = perSecond
    this._tokens = Math.min(this._tokens, perSecond)
  }

  /** True when the bucket holds at least `cost` tokens. */
  has (cost: number, now: number): boolean {
    this._refresh(now)
    return this._tokens >= cost
  }

  /** Takes `cost` tokens. Returns false, and takes none, when the bucket holds fewer. */
  take (cost: number, now: number): boolean {
    if (!this.has(cost, now)) return false
    this._tokens -= cost
    return true
  }

  private _refresh (now: number): void {
    const refill = Math.max(0, now - this._refilledAt) * this._perSecond / MS_PER_S
    this._tokens = Math.min(this._perSecond, this._tokens + refill)
    this._refilledAt = Math.max(this._refilledAt, now)
  }
}
