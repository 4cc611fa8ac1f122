/**
 * Histogram of positive values in bins of equal ratio, of bounded size. Older values lose weight as new ones arrive.
 */

/** Width of a bin on the scale of natural logarithms: the values of a bin lie within 10%. */
const BIN_WIDTH = 0.1
/** Maximum number of bins; values beyond count in the nearest bin. */
const MAX_BINS = 48
/** Once the total weight exceeds this, all weights are halved. */
const MAX_WEIGHT = 128
/** Bins with less weight are dropped when weights are halved. */
const MIN_BIN_WEIGHT = 0.1
/** Share of the largest values that a mean leaves out: some tasks take several times as long as usual. */
const TRIMMED_SHARE = 0.05

/** The bins of a histogram: number of the first bin, and the weights from there on, each as a whole number up to {@link MAX_LEVEL}. */
export interface HistogramRecord {
  readonly first: number
  readonly levels: readonly number[]
}

/** The weight of a level is the square of the level divided by this, so that small weights are as exact in proportion as they need to be. */
const LEVEL_SCALE = 6
/** Highest level; its weight is nearly that of a whole histogram. */
export const MAX_LEVEL = 61

export class LogHistogram {
  /** Weights by bin, in ascending order of bins. */
  private _bins: Array<{ readonly bin: number, weight: number }> = []
  private _weight = 0

  /** Restores a histogram from its record. */
  static restore ({ first, levels }: HistogramRecord): LogHistogram {
    const histogram = new LogHistogram()
    for (const [index, level] of levels.entries()) if (level > 0) histogram._addToBin(first + index, (level / LEVEL_SCALE) ** 2)
    return histogram
  }

  /** Sum of the weights of the values. */
  get weight (): number {
    return this._weight
  }

  add (value: number, weight: number): void {
    this._addToBin(Math.round(Math.log(value) / BIN_WIDTH), weight)
    if (this._weight > MAX_WEIGHT) this._shedWeight()
  }

  /** Returns the natural logarithm of the value below which the given share of the weight lies; NaN without values. */
  getLogQuantile (share: number): number {
    let left = share * this._weight
    for (const { bin, weight } of this._bins) {
      if (left <= weight) return (bin - 0.5 + left / weight) * BIN_WIDTH
      left -= weight
    }
    return ((this._bins.at(-1)?.bin ?? NaN) + 0.5) * BIN_WIDTH
  }

  /** Returns the natural logarithm of the mean value without the largest ones; NaN without values. */
  getLogMean (): number {
    const kept = this._weight * (1 - TRIMMED_SHARE)
    let left = kept
    let sum = 0
    for (const { bin, weight } of this._bins) {
      const counted = Math.min(left, weight)
      sum += counted * Math.exp(bin * BIN_WIDTH)
      left -= counted
    }
    return Math.log(sum / kept)
  }

  /** Returns the standard deviation of the logarithms that a normal distribution with the same middle part has; 0 without values. */
  getLogDeviation (): number {
    return this._bins.length === 0 ? 0 : (this.getLogQuantile(0.84) - this.getLogQuantile(0.16)) / 2
  }

  encode (): HistogramRecord {
    const found = this._bins.map(({ bin, weight }) => ({ bin, level: Math.min(MAX_LEVEL, Math.round(Math.sqrt(weight) * LEVEL_SCALE)) })).filter(({ level }) => level > 0)
    const first = found[0]?.bin ?? 0
    const levels = Array.from({ length: (found.at(-1)?.bin ?? first - 1) - first + 1 }, () => 0)
    for (const { bin, level } of found) levels[bin - first] = level
    return { first, levels }
  }

  private _addToBin (wanted: number, weight: number): void {
    const bin = this._bins.length < MAX_BINS ? wanted : this._findNearest(wanted)
    const index = this._bins.findIndex(other => other.bin >= bin)
    const found = this._bins[index]
    if (found?.bin === bin) found.weight += weight
    else this._bins.splice(index < 0 ? this._bins.length : index, 0, { bin, weight })
    this._weight += weight
  }

  private _findNearest (wanted: number): number {
    return this._bins.reduce((best, { bin }) => Math.abs(bin - wanted) < Math.abs(best - wanted) ? bin : best, this._bins[0]?.bin ?? wanted)
  }

  private _shedWeight (): void {
    this._bins = this._bins.map(({ bin, weight }) => ({ bin, weight: weight / 2 })).filter(({ weight }) => weight >= MIN_BIN_WEIGHT)
    this._weight = this._bins.reduce((sum, { weight }) => sum + weight, 0)
  }
}
