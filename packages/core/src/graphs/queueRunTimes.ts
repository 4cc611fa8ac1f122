/**
 * Run times of one queue's tasks on a worker of middle speed near the data: their distributions by shape, and how far the declared run times were off.
 */
import { LogHistogram } from './logHistogram.js'
import type { HistogramRecord } from './logHistogram.js'
import type { StepSpec } from './graphTypes.js'

/** Stored form of {@link QueueRunTimes}: ratios to the declared times, run times of all tasks, and run times by shape. */
export interface QueueRunTimesRecord {
  readonly ratios: HistogramRecord
  readonly times: HistogramRecord
  readonly shapes: ReadonlyArray<readonly [shape: number, times: HistogramRecord]>
}

/** A way to predict a run time: the logarithm of a value, and the variance of its error. */
interface Prediction {
  readonly logMs: number
  readonly variance: number
}

/** Standard deviation of the logarithm of the ratio of real to declared times that is assumed at first, and its weight in observations. */
const DECLARED_DEVIATION = 0.3
const DECLARED_WEIGHT = 4
/** The same for run times of a queue, which may differ much from job to job. */
const TIME_DEVIATION = 1
const TIME_WEIGHT = 1
/** Weight of a shape's observations from which its own distribution is used. */
const MIN_SHAPE_WEIGHT = 8
/** Maximum number of shapes of a queue with distributions of their own. */
const MAX_SHAPES = 8
/** Lower bound of the weight in the variance of a mean, for queues with a part of one observation. */
const MIN_VARIANCE_WEIGHT = 0.1
/** Ratio of the quantile of a normal distribution to the logit of its share; off by less than 0.1 between the shares 0.05 and 0.95. */
const LOGIT_SCALE = 0.55

export class QueueRunTimes {
  private _ratios = new LogHistogram()
  private _times = new LogHistogram()
  private _shapes = new Map<number, LogHistogram>()
  /** Coefficients of the estimate by shape: log(estimate) = `constant` + `declaredShare` * log(declared). */
  private readonly _coefficients = new Map<number, { readonly constant: number, readonly declaredShare: number }>()

  static restore (record: QueueRunTimesRecord): QueueRunTimes {
    const queue = new QueueRunTimes()
    queue._ratios = LogHistogram.restore(record.ratios)
    queue._times = LogHistogram.restore(record.times)
    queue._shapes = new Map(record.shapes.slice(0, MAX_SHAPES).map(([shape, times]) => [shape, LogHistogram.restore(times)]))
    return queue
  }

  encode (): QueueRunTimesRecord {
    // The only shape of a queue has the same distribution as the queue.
    const shapes = this._shapes.size === 1 ? [] : [...this._shapes].filter(([, { weight }]) => weight >= MIN_SHAPE_WEIGHT)
    return { ratios: this._ratios.encode(), times: this._times.encode(), shapes: shapes.map(([shape, times]) => [shape, times.encode()] as const) }
  }

  /** Number of observations, of which older ones count less. */
  get weight (): number {
    return this._ratios.weight
  }

  /** Adds a measured run time of a task, in milliseconds. Of tasks that ran together, each has a part of the weight 1. */
  learn (spec: StepSpec, ms: number, weight: number): void {
    if (!(ms > 0)) return
    this._coefficients.clear()
    this._ratios.add(ms / getDeclaredMs(spec), weight)
    this._times.add(ms, weight)
    const shape = computeShape(spec)
    const times = this._shapes.get(shape) ?? new LogHistogram()
    if (this._shapes.size < MAX_SHAPES) this._shapes.set(shape, times)
    times.add(ms, weight)
  }

  /** Estimates the run time of a task in milliseconds. */
  estimate (spec: StepSpec): number {
    if (this._times.weight === 0) return spec.estimatedMs
    const { constant, declaredShare } = this._getCoefficients(computeShape(spec))
    return Math.exp(constant + declaredShare * Math.log(getDeclaredMs(spec)))
  }

  /** Estimates the run time below which the given share of the tasks ends, in milliseconds. */
  estimateQuantile (spec: StepSpec, share: number): number {
    const times = this._selectTimes(computeShape(spec))
    const declaredShare = times.weight === 0 ? 1 : this._getCoefficients(computeShape(spec)).declaredShare
    const usual = Math.log(share / (1 - share)) * LOGIT_SCALE * DECLARED_DEVIATION
    const ratio = computeMixed(this._ratios.getLogQuantile(share), this._ratios.weight, usual, DECLARED_WEIGHT)
    const byDeclared = Math.log(getDeclaredMs(spec)) + ratio
    return Math.exp(declaredShare * byDeclared + (declaredShare === 1 ? 0 : (1 - declaredShare) * times.getLogQuantile(share)))
  }

  private _getCoefficients (shape: number): { readonly constant: number, readonly declaredShare: number } {
    const known = this._coefficients.get(shape)
    if (known !== undefined) return known
    const coefficients = this._computeCoefficients(shape)
    this._coefficients.set(shape, coefficients)
    return coefficients
  }

  /** Weighs the declared time, corrected by the mean ratio, and the queue's own mean by the inverse of the variance of their errors. */
  private _computeCoefficients (shape: number): { readonly constant: number, readonly declaredShare: number } {
    const ratio = this._predict(this._ratios, DECLARED_DEVIATION, DECLARED_WEIGHT)
    const times = this._selectTimes(shape)
    if (times.weight === 0) return { constant: 0, declaredShare: 1 }
    const mean = this._predict(times, TIME_DEVIATION, TIME_WEIGHT)
    const declaredShare = mean.variance / (mean.variance + ratio.variance)
    const correction = computeMixed(ratio.logMs, this._ratios.weight, 0, DECLARED_WEIGHT)
    return { constant: declaredShare * correction + (1 - declaredShare) * mean.logMs, declaredShare }
  }

  private _predict (histogram: LogHistogram, deviation: number, priorWeight: number): Prediction {
    const variance = computeMixed(histogram.getLogDeviation() ** 2, histogram.weight, deviation ** 2, priorWeight)
    return { logMs: histogram.getLogMean(), variance: variance * (1 + 1 / Math.max(histogram.weight, MIN_VARIANCE_WEIGHT)) }
  }

  /** Returns the distribution of a shape, or that of the whole queue while the shape was seen too rarely. */
  private _selectTimes (shape: number): LogHistogram {
    const times = this._shapes.get(shape)
    return times === undefined || times.weight < MIN_SHAPE_WEIGHT ? this._times : times
  }
}

/** Returns the declared run time, or 1 ms if it is shorter, since ratios to it are formed. */
function getDeclaredMs (spec: StepSpec): number {
  return Math.max(1, spec.estimatedMs)
}

/** Returns a measured value mixed with a prior one by their weights; the prior one without measurements. */
function computeMixed (value: number, weight: number, prior: number, priorWeight: number): number {
  return weight === 0 ? prior : (value * weight + prior * priorWeight) / (weight + priorWeight)
}

/** Tasks with the same number of accelerators, in gangs or not, have the same shape. */
function computeShape (spec: StepSpec): number {
  return spec.accelerators * 2 + (spec.isGang ? 1 : 0)
}
