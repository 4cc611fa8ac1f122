/**
 * Remembers which agents could relay store calls lately, and in which order to ask them next. So a search goes on where the last one ended, and each agent of a large fleet is asked in its turn.
 */

/** Time for which an agent that could not relay a call is asked after all others, in milliseconds. */
const FAILURE_MEMORY_MS = 5_000
/** Time for which an agent that relayed a call counts as one that can, in milliseconds; an agent notices within 3.2 s that the store turns it away. */
const ANSWER_MEMORY_MS = 2_000

export class RelayTable {
  private readonly _failedAt = new Map<string, number>()
  private _last: string | undefined
  private _lastAt = -Infinity

  /**
   * Orders agents: the one that relayed the last call, then the others as given, then those that failed lately, the earliest failure first. `fresh` is the number of those without a recent failure.
   */
  rank (addresses: readonly string[]): { readonly ranked: readonly string[], readonly fresh: number } {
    const forgottenBefore = performance.now() - FAILURE_MEMORY_MS
    for (const [address, failedAt] of this._failedAt) if (failedAt < forgottenBefore) this._failedAt.delete(address)
    const last = this._last
    const sound = addresses.filter(address => address !== last && !this._failedAt.has(address))
    if (last !== undefined && addresses.includes(last)) sound.unshift(last)
    const failed = addresses.filter(address => this._failedAt.has(address)).sort((a, b) => (this._failedAt.get(a) ?? 0) - (this._failedAt.get(b) ?? 0))
    return { ranked: [...sound, ...failed], fresh: sound.length }
  }

  /** True if an agent has relayed a call lately. */
  get isRelayKnown (): boolean {
    return this._last !== undefined && performance.now() - this._lastAt <= ANSWER_MEMORY_MS
  }

  recordAnswer (address: string): void {
    this._failedAt.delete(address)
    this._last = address
    this._lastAt = performance.now()
  }

  recordFailure (address: string): void {
    this._failedAt.set(address, performance.now())
    if (this._last === address) this._last = undefined
  }
}
