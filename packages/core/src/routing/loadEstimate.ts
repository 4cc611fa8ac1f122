/**
 * What an entry makes of an agent's reported load: its own requests, which it knows, and those of other
 * entries, which the report spoke of and which fade with the report's age.
 */
import type { Candidate } from '../router.js'

export class LoadEstimate {
  private readonly _halfLifeMs: number
  private _others = 0
  private _notedAt = -Infinity
  private _isReported = false

  /** `halfLifeMs` says how fast the part of others fades. */
  constructor (halfLifeMs: number) {
    this._halfLifeMs = halfLifeMs
  }

  /** Notes that an answer has just brought a new report. */
  note (): void {
    this._isReported = true
  }

  /** True when the last report is at most `ms` old. */
  isFresh (now: number, ms: number): boolean {
    return this._isReported || now - this._notedAt <= ms
  }

  /** Returns the requests expected at the agent now. */
  estimate (candidate: Candidate, now: number): number {
    if (this._isReported || this._notedAt === -Infinity) this._take(candidate, now)
    return candidate.inFlight + this._others * 2 ** (-(now - this._notedAt) / this._halfLifeMs)
  }

  private _take (candidate: Candidate, now: number): void {
    this._others = Math.max(0, candidate.reportedLoad - candidate.inFlight)
    this._notedAt = now
    this._isReported = false
  }
}
