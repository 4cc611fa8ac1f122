/**
 * What became of the requests of a run, by stream of callers.
 */

/** Measures of one stream. Times in milliseconds from arrival. */
export interface StreamMeasures {
  readonly sent: number
  /** Answered before the deadline. */
  readonly inTime: number
  readonly shed: number
  readonly expired: number
  /** Ran, but finished after the deadline. */
  readonly wasted: number
  readonly p99StartMs: number
  readonly p99Ms: number
  readonly p99ToldShedMs: number
  /** Slot time of the requests answered in time. */
  readonly usefulRunMs: number
}

export class StreamTally {
  private readonly _startsMs: number[] = []
  private readonly _latenciesMs: number[] = []
  private readonly _toldMs: number[] = []
  private _sent = 0
  private _expired = 0
  private _wasted = 0
  private _usefulRunMs = 0

  noteSent (): void {
    this._sent++
  }

  noteStart (waitedMs: number): void {
    this._startsMs.push(waitedMs)
  }

  noteAnswered (latencyMs: number, isInTime: boolean): void {
    if (isInTime) this._latenciesMs.push(latencyMs)
    else this._wasted++
  }

  /** Notes slot time that ended within the measured window with an answer in time. */
  noteUseful (runMs: number): void {
    this._usefulRunMs += runMs
  }

  noteShed (afterMs: number): void {
    this._toldMs.push(afterMs)
  }

  noteExpired (): void {
    this._expired++
  }

  /** Sums up. */
  describe (): StreamMeasures {
    return {
      sent: this._sent,
      inTime: this._latenciesMs.length,
      shed: this._toldMs.length,
      expired: this._expired,
      wasted: this._wasted,
      p99StartMs: computeQuantile(this._startsMs, 0.99),
      p99Ms: computeQuantile(this._latenciesMs, 0.99),
      p99ToldShedMs: computeQuantile(this._toldMs, 0.99),
      usefulRunMs: this._usefulRunMs
    }
  }
}

/** Returns a quantile; 0 of nothing. */
export function computeQuantile (values: readonly number[], share: number): number {
  if (values.length === 0) return 0
  const sorted = Float64Array.from(values).sort()
  return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? 0
}

/** Rounds for a report. */
export function formatNumber (value: number, digits = 3): number {
  return Number(value.toFixed(digits))
}
