/**
 * Holds back the verdict that a job can never run until it has stood for a while without a break: right after a start,
 * and while hosts are away, the announced fleet is smaller than the real one.
 */

/** Time for which the verdict must stand, in milliseconds. */
export const NEVER_FITS_DEBOUNCE_MS = 600_000

export class NeverFitsDebouncer {
  private _firstSeenAt = new Map<string, number>()

  /** Takes over the jobs judged in this pass; returns those whose verdict has stood long enough. */
  update (jobIds: readonly string[], now: number): ReadonlySet<string> {
    this._firstSeenAt = new Map(jobIds.map(jobId => [jobId, this._firstSeenAt.get(jobId) ?? now]))
    return new Set(jobIds.filter(jobId => now - (this._firstSeenAt.get(jobId) ?? now) >= NEVER_FITS_DEBOUNCE_MS))
  }
}
