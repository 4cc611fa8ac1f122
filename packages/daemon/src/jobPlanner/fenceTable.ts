/**
 * The submission fences in the store, by job, with the time from which they are kept. See `submissionFence.ts` of the entry.
 */

/** A fence as the planner knows it. */
export interface KnownFence {
  readonly jobId: string
  /** Store-wide revision of the fence's last change. */
  readonly modRevision: number
}

/**
 * How long a fence is kept after its last change, in milliseconds: longer than the store may take to carry out an unanswered write, and as long as the state of a job that was stored as cancelled
 * must be shown, which is removed with its fence; two minutes are required.
 */
const RETENTION_MS = 180_000

export class FenceTable {
  private readonly _fences = new Map<string, { readonly modRevision: number, readonly changedAt: number }>()

  /** Records a fence that a list or a watch has shown; `now` is on the monotonic clock, in milliseconds. */
  recordFence ({ jobId, modRevision }: KnownFence, now: number): void {
    if (this._fences.get(jobId)?.modRevision !== modRevision) this._fences.set(jobId, { modRevision, changedAt: now })
  }

  /** Forgets a fence that was removed, unless it has been written again since. */
  forgetFence ({ jobId, modRevision }: KnownFence): void {
    if (this._fences.get(jobId)?.modRevision === modRevision) this._fences.delete(jobId)
  }

  /** Lists up to `limit` fences whose retention is over, the oldest first. */
  listExpired (now: number, limit: number): KnownFence[] {
    const expired: KnownFence[] = []
    for (const [jobId, { modRevision, changedAt }] of this._fences) {
      if (expired.length < limit && now - changedAt > RETENTION_MS) expired.push({ jobId, modRevision })
    }
    return expired
  }
}
