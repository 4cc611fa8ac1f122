/**
 * Estimates how much workers differ, by whether the same workers are slow again and again: of two samples of a worker from different times, the product of the
 * deviations from the medians of their steps is on average the variance between workers, however noisy single samples are.
 */

/** Variance between workers of the logarithms of their factors. */
export interface SpeedVariance {
  /** Number of pairs of samples that the estimate rests on. */
  readonly pairCount: number
  readonly variance: number
  readonly standardError: number
}

/** Deviations count at most this much, since slowdowns for some seconds and tasks of unusual length make large ones. */
const MAX_DEVIATION = 0.8
/** Maximum weight of one worker, in pairs. */
const MAX_PAIRS_PER_WORKER = 10

/** Sums of the deviations of one worker over the slots of time in which it was measured. */
interface WorkerSums {
  readonly slots: Map<number, { sum: number, count: number }>
}

export class SpeedVarianceEstimator<W> {
  private readonly _workers = new Map<W, WorkerSums>()

  /** Adds the deviation of a sample, in natural logarithms, from the median of its step. Samples of one slot of time count as one. */
  addDeviation (worker: W, slot: number, deviation: number): void {
    const sums = this._workers.get(worker) ?? { slots: new Map() }
    this._workers.set(worker, sums)
    const inSlot = sums.slots.get(slot) ?? { sum: 0, count: 0 }
    sums.slots.set(slot, inSlot)
    inSlot.sum += Math.min(MAX_DEVIATION, Math.max(-MAX_DEVIATION, deviation))
    inSlot.count++
  }

  estimate (): SpeedVariance {
    const products = [...this._workers.values()].map(computeProduct).filter(({ pairs }) => pairs > 0)
    const pairCount = products.reduce((sum, { pairs }) => sum + pairs, 0)
    const total = products.reduce((sum, { weight }) => sum + weight, 0)
    if (total === 0) return { pairCount, variance: 0, standardError: Infinity }
    const variance = products.reduce((sum, { mean, weight }) => sum + mean * weight, 0) / total
    const error = products.reduce((sum, { mean, weight }) => sum + (weight * (mean - variance)) ** 2, 0)
    return { pairCount, variance, standardError: Math.sqrt(error) / total }
  }
}

/** Returns the mean product of two deviations of one worker from different slots. */
function computeProduct ({ slots }: WorkerSums): { readonly pairs: number, readonly weight: number, readonly mean: number } {
  const deviations = [...slots.values()].map(({ sum, count }) => sum / count)
  const sum = deviations.reduce((total, deviation) => total + deviation, 0)
  const squares = deviations.reduce((total, deviation) => total + deviation ** 2, 0)
  const pairs = deviations.length * (deviations.length - 1) / 2
  return { pairs, weight: Math.min(MAX_PAIRS_PER_WORKER, pairs), mean: pairs === 0 ? 0 : (sum ** 2 - squares) / 2 / pairs }
}
