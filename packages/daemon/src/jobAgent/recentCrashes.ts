/**
 * Recent crashes of workers right after runs had started. They are reported to the planner for a while, since it may be unable to store a crash, or be
 * replaced by another planner before it has.
 */
import type { CrashListing, RunName } from '@dragonflylever/core/graphs/index'

/** Time for which a crash is reported, in milliseconds; a planner is replaced within seconds. */
const REPORT_MS = 60_000
/** Maximum number of crashes reported for one address; the latest are kept. */
const MAX_CRASHES = 8
/** Maximum number of suspects of a crash; those that started last are kept. */
const MAX_SUSPECTS = 64

interface RecentCrash extends CrashListing {
  readonly noticedAt: number
}

export class RecentCrashes {
  private readonly _crashes = new Map<string, readonly RecentCrash[]>()

  /** Adds a crash of the worker at an address, noticed at `now`, a monotonic time in milliseconds; `suspects` are in the order of their starts. */
  add (address: string, suspects: readonly RunName[], now: number): void {
    this._removeExpired(now)
    const crash = { suspects: suspects.slice(-MAX_SUSPECTS), noticedAt: now }
    this._crashes.set(address, [...this._crashes.get(address) ?? [], crash].slice(-MAX_CRASHES))
  }

  /** Lists the crashes to report for an address. */
  list (address: string, now: number): CrashListing[] {
    this._removeExpired(now)
    return (this._crashes.get(address) ?? []).map(({ suspects }) => ({ suspects }))
  }

  private _removeExpired (now: number): void {
    for (const [address, crashes] of this._crashes) {
      const left = crashes.filter(({ noticedAt }) => now - noticedAt <= REPORT_MS)
      if (left.length === 0) this._crashes.delete(address)
      else if (left.length < crashes.length) this._crashes.set(address, left)
    }
  }
}
