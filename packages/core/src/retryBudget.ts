/**
 * Retry budget: retries may be a fixed share of requests, so that they can't multiply a load that is already too high.
 */

/** Bounds of a retry budget. */
export interface RetryBudgetOptions {
  /** Retries earned by each request, for instance 0.1. */
  readonly retriesPerRequest: number
  /** Most retries saved up; the budget starts with as many. */
  readonly maxSaved: number
}

export class RetryBudget {
  private readonly _options: RetryBudgetOptions
  private _saved: number

  constructor (options: RetryBudgetOptions) {
    this._options = options
    this._saved = options.maxSaved
  }

  /** Notes a request, not a retry. */
  note (): void {
    this._saved = Math.min(this._options.maxSaved, this._saved + this._options.retriesPerRequest)
  }

  /** Takes one retry; false when there is none left. */
  take (): boolean {
    if (this._saved < 1) return false
    this._saved--
    return true
  }
}
