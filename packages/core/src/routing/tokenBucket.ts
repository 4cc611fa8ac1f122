/**
 * Token bucket: a budget that refills at a steady rate up to a bound.
 */

/** Rate and bound of a bucket, in units of the caller's choice. */
export interface TokenBucketOptions {
  readonly perSecond: number
  readonly capacity: number
}

const MS_PER_S = 1_000

export class TokenBucket {
  private readonly _options: TokenBucketOptions
  private _tokens: number
  private _filledAt = 0

  constructor (options: TokenBucketOptions) {
    this._options = options
    this._tokens = options.capacity
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
    const refill = Math.max(0, now - this._filledAt) * this._options.perSecond / MS_PER_S
    this._tokens = Math.min(this._options.capacity, this._tokens + refill)
    this._filledAt = Math.max(this._filledAt, now)
  }
}
