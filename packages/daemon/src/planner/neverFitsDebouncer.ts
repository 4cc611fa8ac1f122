/**
 * Delays failing a job that fits nowhere in the fleet until the finding has persisted without interruption. Right after a start of the
 * planner, and while hosts are unreachable, the known fleet is smaller than the real one, so a single finding proves nothing.
 */

/** Time for which a job must fit nowhere before it may be failed, in milliseconds. */
export const NEVER_FITS_DEBOUNCE_MS = 600_000

export class NeverFitsDebouncer {
  private _since = new Map<string, number>()

  /** Records the jobs that fit nowhere in this pass; returns those to which that has applied in every pass for the debounce time. */
  update (jobIds: readonly string[], now: number): ReadonlySet<string> {
    this._since = new Map(jobIds.map(jobId => [jobId, this._since.get(jobId) ?? now]))
    return new Set(jobIds.filter(jobId => now - (this._since.get(jobId) ?? now) >= NEVER_FITS_DEBOUNCE_MS))
  }
}
