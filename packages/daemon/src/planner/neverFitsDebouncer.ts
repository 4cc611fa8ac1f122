/**
 * Delays the failure of a job that would not fit on the fleet even if it were idle, until every pass for some time has found so. Right
 * after a start of the planner, and while hosts are unreachable, the known fleet is smaller than the real one, so a single pass proves nothing.
 */

/** Time for which every pass must find that a job never fits before the job may be failed, in milliseconds. */
export const NEVER_FITS_DEBOUNCE_MS = 600_000

export class NeverFitsDebouncer {
  private _since = new Map<string, number>()

  /** Records the jobs that never fit according to this pass. Returns those for which every pass has found so for the debounce time. */
  update (jobIds: readonly string[], now: number): ReadonlySet<string> {
    this._since = new Map(jobIds.map(jobId => [jobId, this._since.get(jobId) ?? now]))
    return new Set(jobIds.filter(jobId => now - (this._since.get(jobId) ?? now) >= NEVER_FITS_DEBOUNCE_MS))
  }
}
