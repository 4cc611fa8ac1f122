/**
 * What an entry makes of an agent's reported load: its own requests, which it knows, and those of other
 * entries, which the report spoke of and which fade with the report's age.
 */
import type { Candidate } from '../router.js'

const HALF_LIFE_MS = 500

export class LoadEstimate {
  private _others = 0
  private _notedAt = 0
  private _isReported = true

  /** Notes that an answer has just brought a new report. */
  note (): void {
    this._isReported = true
  }

  /** Returns the requests expected at the agent now. */
  estimate (candidate: Candidate, now: number): number {
    if (this._isReported) {
      this._others = Math.max(0, candidate.reportedLoad - candidate.inFlight)
      this._notedAt = now
      this._isReported = false
    }
    return candidate.inFlight + this._others * 2 ** (-(now - this._notedAt) / HALF_LIFE_MS)
  }
}
