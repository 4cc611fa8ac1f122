/**
 * Remembers which agents could relay store calls lately, and in which order to ask them next. So a search goes on where the last one ended, and each agent of a large fleet is asked in its turn.
 */

/** Time after which an agent that could not relay a call may be able to, in milliseconds. */
const FAILURE_MEMORY_MS = 5_000
/** Time for which an agent that relayed a call counts as one that can, in milliseconds; an agent notices within 3.2 s that the store turns it away. */
const ANSWER_MEMORY_MS = 2_000

export class RelayTable {
  private readonly _failedAt = new Map<string, number>()
  private _last: string | undefined
  private _lastAt = -Infinity

  /**
   * Orders agents: the one that relayed the last call, then those that have not failed since, as given, then the others, the earliest failure first. `fresh` is the number of those that have not failed
   * lately, which come first.
   */
  rank (addresses: readonly string[]): { readonly ranked: readonly string[], readonly fresh: number } {
    const recentSince = performance.now() - FAILURE_MEMORY_MS
    const getRank = (address: string): number => address === this._last ? -Infinity : this._failedAt.get(address) ?? Number.MIN_SAFE_INTEGER
    const ranked = [...addresses].sort((a, b) => compareRanks(getRank(a), getRank(b)))
    const firstRecent = ranked.findIndex(address => getRank(address) >= recentSince)
    return { ranked, fresh: firstRecent < 0 ? ranked.length : firstRecent }
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

/** Compares ranks, of which several may be infinite; agents of equal rank keep their order. */
function compareRanks (a: number, b: number): number {
  return a === b ? 0 : a < b ? -1 : 1
}
