/**
 * Learns how fast workers are relative to each other from the progress of runs of the same step at several workers. A worker's factor is the lasting one: a
 * slowdown for some seconds makes its samples outliers of the fit. Runs of a step are compared only if they work under the same conditions.
 */
import { computeMedian } from './median.js'
import { RunPhase } from './jobState.js'
import type { RunState, WorkerKey } from './jobState.js'
import type { WorkerSpeedsRecord } from './learnedRecord.js'
import type { PlannerLog } from './plannerLog.js'
import { findRunConditions } from './runConditions.js'
import { SpeedEquations } from './speedEquations.js'
import type { FitWorker, WorkerPrior } from './speedEquations.js'
import { SpeedSamples } from './speedSamples.js'
import type { MeasuredWorker } from './speedSamples.js'
import { SpeedVarianceEstimator } from './speedVariance.js'
import type { SpeedSource } from './speedSource.js'
import type { WorkerState } from './workerState.js'

/** Dependencies of {@link WorkerSpeeds}. */
export interface WorkerSpeedsDependencies {
  readonly log: PlannerLog
  /** Returns the incarnation of a worker with the given key; undefined when it is unknown. */
  readonly getWorker: (key: WorkerKey) => WorkerState | undefined
}

/** What is known of one incarnation of a worker. All values are natural logarithms of factors. */
interface WorkerRecord extends MeasuredWorker {
  /** Value that is expected without any sample. */
  readonly inherited: number
  /** True if no earlier incarnation of the worker is known. */
  readonly isFirst: boolean
  /** What was known of the worker before the present samples; undefined for a new worker. */
  prior: WorkerPrior | undefined
  value: number
  /** True once the value has been measured well, by samples from different times. */
  isMeasured: boolean
  /** True once a slowdown for some seconds can't explain the value. */
  isConfirmed: boolean
  /** True while the incarnation is known to exist. */
  isPresent: boolean
  /** Until when a worker that an earlier planner measured is expected to report, on the planner's clock; -Infinity for others and once it has reported. */
  expectedUntil: number
  /** Factor when it was last logged. */
  loggedFactor: number
}

/**
 * Standard deviation of the factors' logarithms that is expected of a new worker until it was measured, and the bounds of the measured one; factors of 0.63, 1 and
 * 1.6 have 0.38. The less the workers differ, the sooner a worker that differs counts as slow for a time only.
 */
const DEFAULT_DEVIATION = 0.35
const MIN_DEVIATION = 0.1
const MAX_DEVIATION = 0.4
/** Standard deviation of what was measured earlier. */
const KNOWN_DEVIATION = 0.15
/** Share of an incarnation's value that is expected of the next one, which may run on a different host. */
const INHERITED_SHARE = 0.25
/** Length of the time slots whose samples count as one, in milliseconds, since a slowdown of a worker for some seconds affects all of them. */
const SLOT_MS = 4_000
/** A value counts as measured with at most this standard error, and samples from at least so many slots. */
const MEASURED_DEVIATION = 0.12
const MIN_SLOTS = 2
/**
 * A value is confirmed by samples from this many slots of which this share fits it; a slowdown for some seconds affects two or three slots. Until then, the value is
 * taken to differ from the middle by at most {@link MAX_UNCONFIRMED} of the deviations that are expected of a new worker.
 */
const CONFIRMED_SLOTS = 4
const CONFIRMED_SHARE = 0.6
const MAX_UNCONFIRMED = 2
/** Pairs of samples from which the estimated variance between workers is used. */
const MIN_PAIRS = 6
/** The variance is significant if it is above 0 by this many of its standard errors. */
const SIGNIFICANCE = 2
/** Number of measured workers, and standard deviation of their values, from which placement takes the speeds into account. It stops below the lower one. */
const MIN_MEASURED_WORKERS = 6
const DIFFERENCE_SPREAD = 0.15
const SAME_SPREAD = 0.12
/**
 * Deviations above the middle at which a worker that was never measured is expected while speeds differ. Work with little time then prefers workers that are known to be
 * fast enough, and work that can wait finds out how fast the others are.
 */
const UNKNOWN_DEVIATIONS = 0.5
/** A worker's factor is logged again when it has changed by more than this factor. */
const LOGGED_RATIO = 1.25
/** Minimum time between fits, in milliseconds, for any number of workers and for each worker: a fit takes longer for more workers. */
const FIT_INTERVAL_MS = 1_000
const FIT_INTERVAL_PER_WORKER_MS = 20
/** Bounds of the number of samples that are kept, in total and for each worker. */
const MAX_SAMPLES = 4_096
const MAX_SAMPLES_PER_WORKER = 24
const MAX_WORKERS = 2_000
/** Time for which a worker that an earlier planner measured is expected to report to this one, in milliseconds. */
const EXPECTED_MS = 600_000

export class WorkerSpeeds implements SpeedSource {
  private readonly _dependencies: WorkerSpeedsDependencies
  private readonly _workers = new Map<string, WorkerRecord>()
  private readonly _samples = new SpeedSamples<WorkerRecord>(worker => {
    worker.prior = { mean: worker.value, deviation: KNOWN_DEVIATION }
  })

  /** Mean value of the measured workers; a worker with this value has the factor 1. */
  private _centre = 0
  private _hasDifferences = false
  private _spread = 0
  /** True while the same workers are slow again and again, so that differences are no accident of few samples. */
  private _isRepeated = false
  /** Standard deviation that is expected of the value of a new worker. */
  private _newDeviation = DEFAULT_DEVIATION
  /** Speed that was last recorded of each run; most reports repeat it. */
  private readonly _recorded = new WeakMap<RunState, number>()
  private _isOutdated = false
  private _fittedAt = -Infinity

  constructor (dependencies: WorkerSpeedsDependencies) {
    this._dependencies = dependencies
  }

  get hasDifferences (): boolean {
    return this._hasDifferences
  }

  /** Standard deviation of the logarithms of the measured factors. */
  get spread (): number {
    return this._spread
  }

  getFactor (workerId: string, now: number): number {
    this._fitIfDue(now)
    const worker = this._workers.get(workerId)
    const isUnknown = worker === undefined || (worker.isFirst && worker.sampleCount === 0 && worker.prior === undefined)
    if (isUnknown) return this._hasDifferences ? Math.exp(UNKNOWN_DEVIATIONS * this._spread) : 1
    return this._computeFactor(worker)
  }

  /** Adds an incarnation of a worker that has joined. Little of what was measured of an earlier incarnation is expected of it. */
  addWorker (key: WorkerKey): void {
    this._takeWorker(key)
  }

  /** Records that an incarnation of a worker has ended. */
  removeWorker (key: WorkerKey): void {
    const worker = this._workers.get(key.id)
    if (worker?.born !== key.born) return
    worker.isPresent = false
    worker.expectedUntil = -Infinity
  }

  /**
   * Records the mean time that a run has taken so far for a percent of its progress, in milliseconds of its worker's clock. `now` is in milliseconds of the
   * planner's clock.
   */
  recordProgress (run: RunState, msPerPercent: number, now: number): void {
    this._fitIfDue(now)
    if (this._recorded.get(run) === msPerPercent) return
    this._recorded.set(run, msPerPercent)
    const stepKey = this._describeConditions(run)
    const worker = stepKey === undefined || !(msPerPercent > 0 && msPerPercent < Infinity) ? undefined : this._takeWorker(run.worker)
    if (stepKey === undefined || worker === undefined) return
    if (this._samples.record(stepKey, worker, `${run.task.index}/${run.number}`, msPerPercent, now)) this._isOutdated = true
    this._samples.dropOldest(Math.min(MAX_SAMPLES, MAX_SAMPLES_PER_WORKER * this._workers.size))
  }

  /** Returns what is known of the workers that exist, as the next planner takes it over. */
  encode (now: number): WorkerSpeedsRecord {
    const known = [...this._workers.values()].filter(({ isMeasured, isPresent, expectedUntil }) => isMeasured && (isPresent || now < expectedUntil))
    const workers = known.map(worker => ({ id: worker.id, born: worker.born, logFactor: this._computeLogFactor(worker), isConfirmed: worker.isConfirmed }))
    return { hasDifferences: this._hasDifferences, newDeviation: this._newDeviation, workers }
  }

  /** Takes over what an earlier planner has learned, of workers that were not measured yet. */
  restore (record: WorkerSpeedsRecord, now: number): void {
    this._newDeviation = Math.min(MAX_DEVIATION, Math.max(MIN_DEVIATION, record.newDeviation))
    this._hasDifferences = record.hasDifferences
    // The first fit waits until agents have reported, since it counts only workers that exist.
    this._fittedAt = now
    for (const { id, born, logFactor, isConfirmed } of record.workers.slice(0, MAX_WORKERS)) {
      const known = this._workers.get(id)
      if (known !== undefined && (known.isMeasured || known.born !== born)) continue
      const value = this._centre + logFactor
      const worker = known ?? { id, born, sampleCount: 0, inherited: value, isFirst: false, isPresent: false, expectedUntil: now + EXPECTED_MS }
      this._workers.set(id, Object.assign(worker, { prior: { mean: value, deviation: KNOWN_DEVIATION }, value, isMeasured: true, isConfirmed, loggedFactor: Math.exp(logFactor) }))
    }
  }

  /**
   * Names the step of a run with the conditions that change its speed: data in another rack, tasks of the step in other racks, and a start from a checkpoint.
   * Undefined if the speed of the run says nothing about its worker.
   */
  private _describeConditions (run: RunState): string | undefined {
    const { step } = run.task
    const { spec } = step
    if (spec.count < 2 || spec.isLongRunning || spec.isFilling || run.pace < 100 || run.wasCold || run.phase === RunPhase.stopping) return undefined
    const conditions = findRunConditions(run, other => this._dependencies.getWorker(other.worker)?.report?.rack)
    if (conditions === undefined) return undefined
    return `${step.name}${conditions.isFar ? ' far' : ''}${conditions.isSpread ? ' spread' : ''}${run.startCheckpoint === '' ? '' : ' restored'}`
  }

  /** Returns the record of a worker; undefined if a later incarnation is known. */
  private _takeWorker ({ id, born }: WorkerKey): WorkerRecord | undefined {
    const known = this._workers.get(id)
    if (known?.born === born) {
      known.isPresent = true
      known.expectedUntil = -Infinity
      return known
    }
    if (known !== undefined && known.born > born) return undefined
    if (known !== undefined) this._samples.removeWorker(known)
    const mean = this._centre + ((known?.value ?? this._centre) - this._centre) * INHERITED_SHARE
    const worker: WorkerRecord = { id, born, sampleCount: 0, inherited: mean, isFirst: known === undefined, prior: undefined, value: mean, isMeasured: false, isConfirmed: false, isPresent: true, expectedUntil: -Infinity, loggedFactor: 1 }
    this._workers.set(id, worker)
    if (this._workers.size > MAX_WORKERS) this._dropWorker()
    return worker
  }

  /** Drops a worker that is gone, or else the one that was added first. */
  private _dropWorker (): void {
    const workers = [...this._workers.values()]
    const dropped = workers.find(worker => !worker.isPresent) ?? workers[0]
    if (dropped === undefined) return
    this._samples.removeWorker(dropped)
    this._workers.delete(dropped.id)
  }

  private _fitIfDue (now: number): void {
    const intervalMs = Math.max(FIT_INTERVAL_MS, this._workers.size * FIT_INTERVAL_PER_WORKER_MS)
    if (!this._isOutdated || now - this._fittedAt < intervalMs) return
    this._fittedAt = now
    this._isOutdated = false
    this._fitValues()
    this._updateDifferences()
  }

  private _fitValues (): void {
    const equations = new SpeedEquations()
    const nodes = new Map<WorkerRecord, FitWorker>()
    const slots = this._countSlots()
    this._estimateVariance()
    for (const samples of this._samples.listComparable()) {
      const step = equations.addStep()
      for (const { worker, beganAt, logMs } of samples.values()) {
        const node = nodes.get(worker) ?? equations.addWorker(worker.prior ?? { mean: worker.inherited, deviation: this._newDeviation })
        nodes.set(worker, node)
        equations.addSample(node, step, logMs, 1 / (slots.get(worker)?.get(findSlot(beganAt)) ?? 1))
      }
    }
    equations.fit()
    for (const [worker, node] of nodes) this._recordFit(worker, node)
  }

  private _recordFit (worker: WorkerRecord, { value, information, sampleCount, fittingCount }: FitWorker): void {
    worker.value = value
    if (information >= MEASURED_DEVIATION ** -2 && sampleCount > MIN_SLOTS - 0.5) worker.isMeasured = true
    if (sampleCount > CONFIRMED_SLOTS - 0.5) worker.isConfirmed = fittingCount > CONFIRMED_SHARE * sampleCount
    // Where samples relate a worker only to others of the same kind, for example since placement chooses so, its known value must not fade.
    if (worker.isMeasured && worker.isConfirmed) worker.prior = { mean: value, deviation: KNOWN_DEVIATION }
  }

  /** Estimates how much workers differ, apart from the fit, which can take noise for differences while there are few samples. */
  private _estimateVariance (): void {
    const estimator = new SpeedVarianceEstimator<WorkerRecord>()
    for (const samples of this._samples.listComparable()) {
      const median = computeMedian([...samples.values()].map(({ logMs }) => logMs))
      for (const { worker, beganAt, logMs } of samples.values()) estimator.addDeviation(worker, findSlot(beganAt), logMs - median)
    }
    const { pairCount, variance, standardError } = estimator.estimate()
    this._isRepeated = pairCount >= MIN_PAIRS && variance > SIGNIFICANCE * standardError && variance > SAME_SPREAD ** 2
    const expected = Math.max(Math.sqrt(Math.max(0, variance)), this._hasDifferences ? this._spread : 0)
    if (pairCount >= MIN_PAIRS) this._newDeviation = Math.min(MAX_DEVIATION, Math.max(MIN_DEVIATION, expected))
  }

  /** Counts the comparable samples of each worker by time slot. */
  private _countSlots (): Map<WorkerRecord, Map<number, number>> {
    const counts = new Map<WorkerRecord, Map<number, number>>()
    for (const samples of this._samples.listComparable()) {
      for (const { worker, beganAt } of samples.values()) {
        const slots = counts.get(worker) ?? new Map<number, number>()
        counts.set(worker, slots)
        slots.set(findSlot(beganAt), (slots.get(findSlot(beganAt)) ?? 0) + 1)
      }
    }
    return counts
  }

  /** Updates the centre and the spread of the measured workers. */
  private _updateDifferences (): void {
    const measured = this._listMeasured()
    const count = Math.max(1, measured.length)
    if (measured.length > 0) this._centre = measured.reduce((sum, { value }) => sum + value, 0) / count
    this._spread = Math.sqrt(measured.reduce((sum, worker) => sum + this._computeLogFactor(worker) ** 2, 0) / count)
    const had = this._hasDifferences
    this._hasDifferences = measured.length >= MIN_MEASURED_WORKERS && this._spread > (had ? SAME_SPREAD : DIFFERENCE_SPREAD) && (had || this._isRepeated)
    if (this._hasDifferences === had) this._logMovedWorker()
    else this._dependencies.log.note(had ? 'worker speeds are alike' : 'worker speeds differ', { spread: this._spread, workers: measured.length })
  }

  /** Logs the worker whose factor has moved most since it was last logged; one at most, so that there is at most one line for each fit. */
  private _logMovedWorker (): void {
    let moved: { readonly worker: WorkerRecord, readonly factor: number, readonly ratio: number } | undefined
    for (const worker of this._listMeasured()) {
      const factor = this._computeFactor(worker)
      const ratio = Math.max(factor / worker.loggedFactor, worker.loggedFactor / factor)
      if (ratio > (moved?.ratio ?? LOGGED_RATIO)) moved = { worker, factor, ratio }
    }
    if (moved === undefined) return
    const { worker, factor } = moved
    this._dependencies.log.note('worker speed changed', { worker: worker.id, born: worker.born, factor, before: worker.loggedFactor })
    worker.loggedFactor = factor
  }

  private _computeFactor (worker: WorkerRecord): number {
    return Math.exp(this._computeLogFactor(worker))
  }

  private _computeLogFactor (worker: WorkerRecord): number {
    const value = worker.value - this._centre
    const limit = worker.isConfirmed ? Infinity : MAX_UNCONFIRMED * this._newDeviation
    return Math.min(limit, Math.max(-limit, value))
  }

  private _listMeasured (): WorkerRecord[] {
    return [...this._workers.values()].filter(worker => worker.isMeasured && worker.isPresent)
  }
}

function findSlot (at: number): number {
  return Math.floor(at / SLOT_MS)
}
