/**
 * Run times learned per organisation and class, since declared ones may be wrong by a large factor.
 * Two histograms are kept, of run times and of their ratio to what was declared; the narrower one predicts.
 */
import type { JobSpec } from './jobTypes.js'
import { LogHistogram } from './logHistogram.js'

/** Bounds of the estimator. */
export interface RunTimeEstimatorOptions {
  /** Most pairs of organisation and class remembered; the one unused for longest goes first. */
  readonly maxKeys: number
  /** Samples below which a declaration counts more than what was seen. */
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
/** How far a declaration may be off, for which no run was seen. */
const UNLEARNED_FACTOR = 4

export class RunTimeEstimator {
  private readonly _options: RunTimeEstimatorOptions
  private readonly _samples = new Map<string, RunTimeSamples>()

  constructor (options: Partial<RunTimeEstimatorOptions> = {}) {
    this._options = { ...DEFAULT_OPTIONS, ...options }
  }

  /** Number of pairs of organisation and class remembered. */
  get size (): number {
    return this._samples.size
  }

  /** Learns from a job that ran to its end. */
  learn (spec: JobSpec, runMs: number): void {
    const key = makeKey(spec)
    const samples = this._samples.get(key) ?? { runMs: new LogHistogram(), ratio: new LogHistogram() }
    this._samples.delete(key)
    this._samples.set(key, samples)
    samples.runMs.record(runMs)
    samples.ratio.record(runMs / Math.max(1, spec.declaredRunMs) * RATIO_SCALE)
    const oldest = this._samples.keys().next().value
    if (this._samples.size > this._options.maxKeys && oldest !== undefined) this._samples.delete(oldest)
  }

  /** Returns the time a job that has run for `attainedMs` is expected to go on, at a quantile in (0, 1). */
  predictRemainingMs (spec: JobSpec, attainedMs: number, quantile: number): number {
    const samples = this._samples.get(makeKey(spec))
    if (samples === undefined || samples.runMs.count < this._options.minSamples) return predictFromDeclaration(spec, attainedMs, quantile)
    const declaredMs = Math.max(1, spec.declaredRunMs)
    const total = measureSpread(samples.ratio) < measureSpread(samples.runMs)
      ? samples.ratio.computeQuantile(quantile, attainedMs / declaredMs * RATIO_SCALE) * declaredMs / RATIO_SCALE
      : samples.runMs.computeQuantile(quantile, attainedMs)
    return Math.max(0, total - attainedMs)
  }
}

function makeKey (spec: JobSpec): string {
  return `${spec.organisation}/${spec.className}`
}

function measureSpread (histogram: LogHistogram): number {
  return histogram.computeQuantile(HIGH_QUANTILE, 0) / Math.max(1, histogram.computeQuantile(LOW_QUANTILE, 0))
}

/** The declaration, then as long again as the job has run already. */
function predictFromDeclaration (spec: JobSpec, attainedMs: number, quantile: number): number {
  const total = spec.declaredRunMs * (quantile > HIGH_QUANTILE - LOW_QUANTILE ? UNLEARNED_FACTOR : 1)
  return total > attainedMs ? total - attainedMs : attainedMs
}
