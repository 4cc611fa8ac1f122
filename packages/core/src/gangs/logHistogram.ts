/**
 * Histogram with bucket bounds that grow by a fixed ratio, in constant memory. The weight of old samples decays.
 */
const BUCKETS_PER_DOUBLING = 3
const BUCKETS = 128
const MAX_SAMPLES = 512

export class LogHistogram {
  private readonly _counts = new Float64Array(BUCKETS)
  private _total = 0

  /** Sum of the weights of the samples; an old sample counts less than 1. */
  get count (): number {
    return this._total
  }

  /** Adds a sample; values below 1 count as 1. */
  record (value: number): void {
    if (this._total >= MAX_SAMPLES) this._applyDecay()
    const bucket = getBucket(value)
    this._counts[bucket] = (this._counts[bucket] ?? 0) + 1
    this._total++
  }

  /** Returns the quantile of the samples above `lowerBound`, or twice `lowerBound` when there are none. */
  computeQuantile (quantile: number, lowerBound: number): number {
    const first = lowerBound > 0 ? getBucket(lowerBound) + 1 : 0
    let total = 0
    for (let bucket = first; bucket < BUCKETS; bucket++) total += this._counts[bucket] ?? 0
    if (total <= 0) return lowerBound * 2
    let rank = total * quantile
    for (let bucket = first; bucket < BUCKETS; bucket++) {
      rank -= this._counts[bucket] ?? 0
      if (rank <= 0) return 2 ** ((bucket + 0.5) / BUCKETS_PER_DOUBLING)
    }
    return lowerBound * 2
  }

  private _applyDecay (): void {
    this._total = 0
    for (let bucket = 0; bucket < BUCKETS; bucket++) {
      this._counts[bucket] = (this._counts[bucket] ?? 0) / 2
      this._total += this._counts[bucket] ?? 0
    }
  }
}

function getBucket (value: number): number {
  return Math.min(BUCKETS - 1, Math.max(0, Math.floor(Math.log2(Math.max(1, value)) * BUCKETS_PER_DOUBLING)))
}
