/**
 * Token bucket on the monotonic clock: limits calls to a constant average rate with a bounded burst.
 */

/** Refill rate in tokens per second, and the capacity in tokens. */
export interface TokenBucketOptions {
  readonly ratePerS: number
  readonly burst: number
}

const MS_PER_S = 1_000

export class TokenBucket {
  private readonly _options: TokenBucketOptions
  private _tokens: number
  private _refilledAt: number

  constructor (options: TokenBucketOptions, now: number) {
    this._options = options
    this._tokens = options.burst
    this._refilledAt = now
  }

  /** Takes one token; returns false if none is available. `now` is monotonic, in milliseconds. */
  tryTake (now: number): boolean {
    this._addTokens(now)
    if (this._tokens < 1) return false
    this._tokens--
    return true
  }

  /** Returns the fraction of the capacity that is currently used up, from 0 to 1. */
  getUsedShare (now: number): number {
    this._addTokens(now)
    return 1 - this._tokens / this._options.burst
  }

  private _addTokens (now: number): void {
    const refilled = Math.max(0, now - this._refilledAt) / MS_PER_S * this._options.ratePerS
    this._tokens = Math.min(this._options.burst, this._tokens + refilled)
    this._refilledAt = now
  }
}
