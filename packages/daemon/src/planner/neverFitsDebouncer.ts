/**
 * Delays the failure of a job that would not fit even on an idle fleet until every scheduler pass for some time has found that it does not fit.
 * Right after a start of the planner, and while hosts are unreachable, the planner does not know all hosts, so one pass is no proof.
 */

/** Time for which every scheduler pass must find that a job does not fit before the job may be failed, in milliseconds. */
export const NEVER_FITS_DEBOUNCE_MS = 600_000

export class NeverFitsDebouncer {
  private _since = new Map<string, number>()

  /** Records the jobs that do not fit according to this pass. Returns those that have not fitted in any pass for the debounce time. */
  update (jobIds: readonly string[], now: number): ReadonlySet<string> {
    this._since = new Map(jobIds.map(jobId => [jobId, this._since.get(jobId) ?? now]))
    return new Set(jobIds.filter(jobId => now - (this._since.get(jobId) ?? now) >= NEVER_FITS_DEBOUNCE_MS))
  }
}
