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

interface Seen {
  readonly runMs: LogHistogram
  readonly ratio: LogHistogram
}

const DEFAULTS: RunTimeEstimatorOptions = { maxKeys: 1_024, minSamples: 8 }
const RATIO_SCALE = 1_000
const LOW = 0.1
const HIGH = 0.9
/** How far a declaration may be off, for which no run was seen. */
const UNSEEN_FACTOR = 4

export class RunTimeEstimator {
  private readonly _options: RunTimeEstimatorOptions
  private readonly _seen = new Map<string, Seen>()

  constructor (options: Partial<RunTimeEstimatorOptions> = {}) {
    this._options = { ...DEFAULTS, ...options }
  }

  /** Number of pairs of organisation and class remembered. */
  get size (): number {
    return this._seen.size
  }

  /** Learns from a job that ran to its end. */
  learn (spec: JobSpec, runMs: number): void {
    const key = makeKey(spec)
    const seen = this._seen.get(key) ?? { runMs: new LogHistogram(), ratio: new LogHistogram() }
    this._seen.delete(key)
    this._seen.set(key, seen)
    seen.runMs.record(runMs)
    seen.ratio.record(runMs / Math.max(1, spec.declaredRunMs) * RATIO_SCALE)
    const oldest = this._seen.keys().next().value
    if (this._seen.size > this._options.maxKeys && oldest !== undefined) this._seen.delete(oldest)
  }

  /** Returns the time a job that has run for `attainedMs` is expected to go on, at a quantile in (0, 1). */
  predictRestMs (spec: JobSpec, attainedMs: number, quantile: number): number {
    const seen = this._seen.get(makeKey(spec))
    if (seen === undefined || seen.runMs.count < this._options.minSamples) return predictUnseen(spec, attainedMs, quantile)
    const declaredMs = Math.max(1, spec.declaredRunMs)
    const total = measureSpread(seen.ratio) < measureSpread(seen.runMs)
      ? seen.ratio.computeQuantile(quantile, attainedMs / declaredMs * RATIO_SCALE) * declaredMs / RATIO_SCALE
      : seen.runMs.computeQuantile(quantile, attainedMs)
    return Math.max(0, total - attainedMs)
  }
}

function makeKey (spec: JobSpec): string {
  return `${spec.organisation}/${spec.className}`
}

function measureSpread (histogram: LogHistogram): number {
  return histogram.computeQuantile(HIGH, 0) / Math.max(1, histogram.computeQuantile(LOW, 0))
}

/** The declaration, then as long again as the job has run already. */
function predictUnseen (spec: JobSpec, attainedMs: number, quantile: number): number {
  const total = spec.declaredRunMs * (quantile > HIGH - LOW ? UNSEEN_FACTOR : 1)
  return total > attainedMs ? total - attainedMs : attainedMs
}
