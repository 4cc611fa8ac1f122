/**
 * Bounded store of measured speeds, by step and worker. A step stands for runs that would take equally long on equal workers.
 */
import { computeMedian } from './median.js'

/** A worker whose speed is measured. */
export interface MeasuredWorker {
  readonly id: string
  /** Wall time at which the worker's incarnation started. */
  readonly born: number
  /** Number of steps that were measured at the worker. */
  sampleCount: number
}

/** The speed of one step at one worker. */
export interface SpeedSample<W extends MeasuredWorker> {
  readonly worker: W
  /** When the sample began, in milliseconds of the planner's clock. */
  readonly beganAt: number
  /** Natural logarithm of the milliseconds per percent: the median of the step's runs at the worker. */
  logMs: number
  readonly runs: Map<string, RunMeasure>
}

/** What was measured of one run, as natural logarithms of milliseconds per percent. */
interface RunMeasure {
  lowest: number
  value: number
}

/** Maximum number of samples of one step; the members of the largest gangs. */
const MAX_SAMPLES_PER_STEP = 64
/** Maximum number of runs that are kept for one sample. */
const MAX_RUNS_PER_SAMPLE = 16
/** A run whose mean speed has fallen below its best by more than this was slowed down on the way; its best counts. */
const SLOWED_LOG = 0.14
/** A change of a sample by less than this doesn't call for another fit. */
const NOTICEABLE_CHANGE = 0.02

export class SpeedSamples<W extends MeasuredWorker> {
  /** Samples by step and worker id. The step that was changed last comes last. */
  private readonly _steps = new Map<string, Map<string, SpeedSample<W>>>()
  private readonly _onUnmeasured: (worker: W) => void
  private _count = 0

  /** `onUnmeasured` is called with a worker when its last sample is dropped. */
  constructor (onUnmeasured: (worker: W) => void) {
    this._onUnmeasured = onUnmeasured
  }

  /** Number of samples. */
  get count (): number {
    return this._count
  }

  /** Returns the samples of the steps that were measured at more than one worker; the others say nothing about workers. */
  * listComparable (): Generator<ReadonlyMap<string, SpeedSample<W>>> {
    for (const step of this._steps.values()) if (step.size > 1) yield step
  }

  /** Records the milliseconds per percent of a run. Returns true if the change matters to the workers' factors. */
  record (stepKey: string, worker: W, runKey: string, msPerPercent: number, now: number): boolean {
    const step = this._touchStep(stepKey)
    let sample = step.get(worker.id)
    if (sample !== undefined && sample.worker !== worker) this._dropSample(step, sample)
    if (sample?.worker !== worker) {
      if (step.size >= MAX_SAMPLES_PER_STEP) return false
      sample = { worker, beganAt: now, logMs: NaN, runs: new Map() }
      step.set(worker.id, sample)
      worker.sampleCount++
      this._count++
    }
    if (!recordRun(sample, runKey, Math.log(msPerPercent))) return false
    const before = sample.logMs
    const after = computeMedian([...sample.runs.values()].map(run => run.value))
    if (Math.abs(after - before) < NOTICEABLE_CHANGE) return false
    sample.logMs = after
    return step.size > 1
  }

  /** Drops the steps that were not changed for the longest time until at most `maxCount` samples are left. */
  dropOldest (maxCount: number): void {
    for (const [key, step] of this._steps) {
      if (this._count <= maxCount) return
      this._steps.delete(key)
      for (const sample of [...step.values()]) this._dropSample(step, sample)
    }
  }

  /** Drops all samples of a worker. */
  removeWorker (worker: W): void {
    for (const [key, step] of this._steps) {
      const sample = step.get(worker.id)
      if (sample !== undefined && sample.worker === worker) this._dropSample(step, sample)
      if (step.size === 0) this._steps.delete(key)
    }
  }

  private _touchStep (key: string): Map<string, SpeedSample<W>> {
    const step = this._steps.get(key) ?? new Map<string, SpeedSample<W>>()
    this._steps.delete(key)
    this._steps.set(key, step)
    return step
  }

  private _dropSample (step: Map<string, SpeedSample<W>>, sample: SpeedSample<W>): void {
    step.delete(sample.worker.id)
    this._count--
    sample.worker.sampleCount--
    if (sample.worker.sampleCount === 0) this._onUnmeasured(sample.worker)
  }
}

/** Records the mean speed of a run so far. Returns false if there is nothing new. */
function recordRun <W extends MeasuredWorker> (sample: SpeedSample<W>, runKey: string, logMs: number): boolean {
  const known = sample.runs.get(runKey)
  if (known === undefined) {
    if (sample.runs.size >= MAX_RUNS_PER_SAMPLE) return false
    sample.runs.set(runKey, { lowest: logMs, value: logMs })
    return true
  }
  const value = logMs > known.lowest + SLOWED_LOG ? known.lowest : logMs
  if (value === known.value) return false
  known.lowest = Math.min(known.lowest, logMs)
  known.value = value
  return true
}
