/**
 * Estimates the load of an agent from its last report: the entry's own requests, which it knows, plus the reported
 * requests of other entries, which decay with the age of the report.
 */
import type { Candidate } from '../router.js'

export class LoadEstimate {
  private readonly _halfLifeMs: number
  private _othersLoad = 0
  private _reportedAt = -Infinity
  private _hasNewReport = false

  /** `halfLifeMs` is the half-life, in milliseconds, of the reported load from other entries. */
  constructor (halfLifeMs: number) {
    this._halfLifeMs = halfLifeMs
  }

  /** Records that an answer has just carried a new report. */
  markReported (): void {
    this._hasNewReport = true
  }

  /** True when the last report is at most `ms` milliseconds old. */
  isFresh (now: number, ms: number): boolean {
    return this._hasNewReport || now - this._reportedAt <= ms
  }

  /** Returns the number of requests expected at the agent now. */
  estimate (candidate: Candidate, now: number): number {
    if (this._hasNewReport || this._reportedAt === -Infinity) this._applyReport(candidate, now)
    return candidate.inFlight + this._othersLoad * 2 ** (-(now - this._reportedAt) / this._halfLifeMs)
  }

  private _applyReport (candidate: Candidate, now: number): void {
    this._othersLoad = Math.max(0, candidate.reportedLoad - candidate.inFlight)
    this._reportedAt = now
    this._hasNewReport = false
  }
}
