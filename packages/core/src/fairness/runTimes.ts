/**
 * Run times seen, as quantiles per class and organisation in bounded memory. Old observations fade.
 */

const BUCKETS = 64
const BUCKET_RATIO = 1.3
const LOG_RATIO = Math.log(BUCKET_RATIO)
/** Observations after which the weights are halved. */
const FADE_COUNT = 512

/** Histogram of durations with buckets that grow by a fixed ratio, from 1 ms up. */
export class RunTimeHistogram {
  private readonly _weights = new Float32Array(BUCKETS)
  private _count = 0
  private _sumMs = 0

  /** Weight of the observations that still count. */
  get count (): number {
    return this._count
  }

  /** Mean in milliseconds; 0 before the first observation. */
  get meanMs (): number {
    return this._count === 0 ? 0 : this._sumMs / this._count
  }

  /** Adds an observation. */
  note (ms: number): void {
    if (this._count >= FADE_COUNT) this._cutWeights()
    const bucket = Math.ceil(Math.log(Math.max(1, ms)) / LOG_RATIO)
    const index = Math.min(BUCKETS - 1, bucket)
    this._weights[index] = (this._weights[index] ?? 0) + 1
    this._count++
    this._sumMs += ms
  }

  /** Returns an upper bound of the quantile in milliseconds; 0 before the first observation. */
  estimateQuantile (share: number): number {
    if (this._count === 0) return 0
    let left = share * this._count
    for (let index = 0; index < BUCKETS; index++) {
      left -= this._weights[index] ?? 0
      if (left <= 0) return BUCKET_RATIO ** index
    }
    return BUCKET_RATIO ** (BUCKETS - 1)
  }

  private _cutWeights (): void {
    for (let index = 0; index < BUCKETS; index++) this._weights[index] = (this._weights[index] ?? 0) / 2
    this._count /= 2
    this._sumMs /= 2
  }
}
