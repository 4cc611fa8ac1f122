/**
 * Learns run times per organisation and class, since declared run times may be wrong by a large factor.
 * Keeps a histogram of run times and one of their ratio to the declared run time; predicts from the histogram with the smaller spread.
 */
import type { JobSpec } from './jobTypes.js'
import { LogHistogram } from './logHistogram.js'

/** Limits of {@link RunTimeEstimator}. */
export interface RunTimeEstimatorOptions {
  /** Maximum number of pairs of organisation and class with samples; the pair whose last sample is the oldest is evicted first. */
  readonly maxKeys: number
  /** Number of samples below which predictions use the declared run time. */
  readonly minSamples: number
}

interface RunTimeSamples {
  readonly runMs: LogHistogram
  readonly ratio: LogHistogram
}

const DEFAULT_OPTIONS: RunTimeEstimatorOptions = { maxKeys: 1_024, minSamples: 8 }
const RATIO_SCALE = 1_000
const LOW_QUANTILE = 0.1
const HIGH_QUANTILE = 0.9
/** Factor by which a declared run time is assumed to be too low at high quantiles, while there are too few samples. */
const UNLEARNED_FACTOR = 4

export class RunTimeEstimator {
  private readonly _options: RunTimeEstimatorOptions
  private readonly _samples = new Map<string, RunTimeSamples>()

  constructor (options: Partial<RunTimeEstimatorOptions> = {}) {
    this._options = { ...DEFAULT_OPTIONS, ...options }
  }

  /** Number of pairs of organisation and class that are remembered. */
  get size (): number {
    return this._samples.size
  }

  /** Learns from the run time of a finished job. */
  learnRunTime (spec: JobSpec, runMs: number): void {
    const key = makeSampleKey(spec)
    const seen = this._samples.get(key) ?? { runMs: new LogHistogram(), ratio: new LogHistogram() }
    this._samples.delete(key)
    this._samples.set(key, seen)
    seen.runMs.record(runMs)
    seen.ratio.record(runMs / Math.max(1, spec.declaredRunMs) * RATIO_SCALE)
    const oldest = this._samples.keys().next().value
    if (this._samples.size > this._options.maxKeys && oldest !== undefined) this._samples.delete(oldest)
  }

  /** Returns the remaining run time in milliseconds, at a quantile in (0, 1), of a job that has run for `attainedMs`. */
  predictRemainingMs (spec: JobSpec, attainedMs: number, quantile: number): number {
    const seen = this._samples.get(makeSampleKey(spec))
    if (seen === undefined || seen.runMs.count < this._options.minSamples) return predictFromDeclaration(spec, attainedMs, quantile)
    const declaredMs = Math.max(1, spec.declaredRunMs)
    const total = measureSpread(seen.ratio) < measureSpread(seen.runMs)
      ? seen.ratio.computeQuantile(quantile, attainedMs / declaredMs * RATIO_SCALE) * declaredMs / RATIO_SCALE
      : seen.runMs.computeQuantile(quantile, attainedMs)
    return Math.max(0, total - attainedMs)
  }
}

function makeSampleKey (spec: JobSpec): string {
  return `${spec.organisation}/${spec.className}`
}

function measureSpread (histogram: LogHistogram): number {
  return histogram.computeQuantile(HIGH_QUANTILE, 0) / Math.max(1, histogram.computeQuantile(LOW_QUANTILE, 0))
}

/**
 * Predicts the rest of the declared run time, which is multiplied by {@link UNLEARNED_FACTOR} at high quantiles. Once that time has passed,
 * predicts that the job runs for as long again as it has already run.
 */
function predictFromDeclaration (spec: JobSpec, attainedMs: number, quantile: number): number {
  const total = spec.declaredRunMs * (quantile > HIGH_QUANTILE - LOW_QUANTILE ? UNLEARNED_FACTOR : 1)
  return total > attainedMs ? total - attainedMs : attainedMs
}
