/**
 * Retry budget: limits retries to a fixed share of requests, so that retries can't amplify an overload.
 */

/** Limits of a retry budget. */
export interface RetryBudgetOptions {
  /** Retries that each request adds to the budget, for instance 0.1. */
  readonly retriesPerRequest: number
  /** Maximum number of retries in the budget, which starts full. */
  readonly maxSaved: number
}

export class RetryBudget {
  private readonly _options: RetryBudgetOptions
  private _saved: number

  constructor (options: RetryBudgetOptions) {
    this._options = options
    this._saved = options.maxSaved
  }

  /** Records a request that is not a retry. */
  recordRequest (): void {
    this._saved = Math.min(this._options.maxSaved, this._saved + this._options.retriesPerRequest)
  }

  /** Takes one retry from the budget. Returns false when the budget is used up. */
  takeRetry (): boolean {
    if (this._saved < 1) return false
    this._saved--
    return true
  }
}
