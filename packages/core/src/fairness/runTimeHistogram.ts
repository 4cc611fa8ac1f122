/**
 * Run times observed per class and organisation, as a histogram in bounded memory. The weight of old observations decays.
 */

const BUCKETS = 64
const BUCKET_RATIO = 1.3
const LOG_RATIO = Math.log(BUCKET_RATIO)
/** Total weight of the observations at which all weights are halved. */
const DECAY_COUNT = 512

/** Histogram of durations with buckets that grow by a fixed ratio, from 1 ms up. */
export class RunTimeHistogram {
  private readonly _weights = new Float32Array(BUCKETS)
  private _count = 0
  private _sumMs = 0

  /** Total weight of the observations after decay. */
  get count (): number {
    return this._count
  }

  /** Mean run time in milliseconds; 0 before the first observation. */
  get meanMs (): number {
    return this._count === 0 ? 0 : this._sumMs / this._count
  }

  /** Adds an observed run time in milliseconds. */
  record (ms: number): void {
    if (this._count >= DECAY_COUNT) this._applyDecay()
    const bucket = Math.ceil(Math.log(Math.max(1, ms)) / LOG_RATIO)
    const index = Math.min(BUCKETS - 1, bucket)
    this._weights[index] = (this._weights[index] ?? 0) + 1
    this._count++
    this._sumMs += ms
  }

  /** Returns an upper bound of the quantile `share` (0 to 1) of the run times in milliseconds; 0 before the first observation. */
  estimateQuantile (share: number): number {
    if (this._count === 0) return 0
    let remaining = share * this._count
    for (let index = 0; index < BUCKETS; index++) {
      remaining -= this._weights[index] ?? 0
      if (remaining <= 0) return BUCKET_RATIO ** index
    }
    return BUCKET_RATIO ** (BUCKETS - 1)
  }

  private _applyDecay (): void {
    for (let index = 0; index < BUCKETS; index++) this._weights[index] = (this._weights[index] ?? 0) / 2
    this._count /= 2
    this._sumMs /= 2
  }
}
