/**
 * Records the outcomes and latencies of the requests of one stream.
 */

/** Measurements of one stream. Times are in milliseconds since the request's arrival. */
export interface StreamMeasures {
  readonly sent: number
  /** Number of requests answered by their deadline. */
  readonly inTime: number
  readonly shed: number
  readonly expired: number
  /** Number of requests that were answered after their deadline, so that their run was of no use. */
  readonly wasted: number
  readonly p99StartMs: number
  readonly p99Ms: number
  /** 99th percentile of the time until a caller was notified that its request was shed. */
  readonly p99ToldShedMs: number
  /** Sum of the run times of the requests that were answered by their deadline within the measured window. */
  readonly usefulRunMs: number
}

export class StreamRecorder {
  private readonly _startsMs: number[] = []
  private readonly _latenciesMs: number[] = []
  private readonly _shedLatenciesMs: number[] = []
  private _sent = 0
  private _expired = 0
  private _wasted = 0
  private _usefulRunMs = 0

  recordSent (): void {
    this._sent++
  }

  recordStart (waitedMs: number): void {
    this._startsMs.push(waitedMs)
  }

  recordAnswered (latencyMs: number, isInTime: boolean): void {
    if (isInTime) this._latenciesMs.push(latencyMs)
    else this._wasted++
  }

  /** Records the run time of a request that was answered by its deadline within the measured window. */
  recordUsefulRun (runMs: number): void {
    this._usefulRunMs += runMs
  }

  recordShed (afterMs: number): void {
    this._shedLatenciesMs.push(afterMs)
  }

  recordExpired (): void {
    this._expired++
  }

  /** Returns the measurements so far. */
  computeMeasures (): StreamMeasures {
    return {
      sent: this._sent,
      inTime: this._latenciesMs.length,
      shed: this._shedLatenciesMs.length,
      expired: this._expired,
      wasted: this._wasted,
      p99StartMs: computeQuantile(this._startsMs, 0.99),
      p99Ms: computeQuantile(this._latenciesMs, 0.99),
      p99ToldShedMs: computeQuantile(this._shedLatenciesMs, 0.99),
      usefulRunMs: this._usefulRunMs
    }
  }
}

/** Returns the quantile `share` (0 to 1) of the values, or 0 if there are none. */
export function computeQuantile (values: readonly number[], share: number): number {
  if (values.length === 0) return 0
  const sorted = Float64Array.from(values).sort()
  return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? 0
}

/** Rounds a number to `digits` decimal places. */
export function roundNumber (value: number, digits = 3): number {
  return Number(value.toFixed(digits))
}
