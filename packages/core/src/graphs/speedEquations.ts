/**
 * Fits one value to each step and one to each worker from measured speeds: log(ms per percent) = step + worker + error. The fit is robust: a sample that
 * fits neither, for example from a worker that was slow for some seconds, gets little weight.
 */
import { computeMedian } from './median.js'

/** What is known of a worker before the samples: mean and standard deviation of its value. */
export interface WorkerPrior {
  readonly mean: number
  readonly deviation: number
}

/** A worker in the fit. */
export interface FitWorker {
  prior: WorkerPrior
  readonly samples: FitSample[]
  /** Fitted value: natural logarithm of the worker's factor. */
  value: number
  /** Inverse of the variance of the value, from the prior and from samples of steps that other workers ran too. */
  information: number
  /** Number of independent samples, and the part of it that fits the value. */
  sampleCount: number
  fittingCount: number
  /** Vectors of the solver. */
  residual: number
  direction: number
  image: number
}

/** A step in the fit. */
export interface FitStep {
  /** Fitted value: natural logarithm of the milliseconds per percent on a worker of middle speed. */
  value: number
  readonly samples: FitSample[]
  /** Sum of the weights of the step's samples, and the solver's weighted sum over them. */
  weight: number
  sum: number
}

/** The speed that a step had at a worker. */
interface FitSample {
  readonly worker: FitWorker
  readonly step: FitStep
  readonly logMs: number
  /** Weight relative to an independent sample. */
  readonly share: number
  weight: number
}

/** Least standard deviation of the error: members of a gang differ by some percent on equal workers. */
const MIN_NOISE = 0.06
const MAX_NOISE = 0.4
/** The error is taken to be larger than {@link MIN_NOISE} only if it is measured above this value, since the measurement is itself uncertain. */
const NOTICEABLE_NOISE = 0.09
/**
 * Standard deviations of the error that are assumed one after the other, down to the real one. With a narrow error from the start, the samples of workers
 * that are not of middle speed would all be taken for outliers.
 */
const NOISE_STAGES = [0.4, 0.25, 0.15, 0.1, MIN_NOISE] as const
/** Number of independent samples that can contradict the prior value of a worker, and how far off their median has to be. */
const CONTRADICTING_SAMPLES = 5
const CONTRADICTION = 0.3
/** Share of samples that are expected to be outliers, and their density on the logarithmic scale, where they span factors of up to about 50. */
const OUTLIER_SHARE = 0.1
const OUTLIER_DENSITY = 0.25
/** Degrees of freedom from which the error can be measured. */
const MIN_FREEDOM = 8
/** Ratio of the standard deviation of a normal distribution to its median absolute deviation. */
const MAD_SCALE = 1.4826
const MAX_SOLVER_STEPS = 40
const SOLVER_TOLERANCE = 1e-4

export class SpeedEquations {
  private readonly _workers: FitWorker[] = []
  private readonly _steps: FitStep[] = []
  private readonly _samples: FitSample[] = []

  addWorker (prior: WorkerPrior): FitWorker {
    const worker: FitWorker = { prior, samples: [], value: prior.mean, information: prior.deviation ** -2, sampleCount: 0, fittingCount: 0, residual: 0, direction: 0, image: 0 }
    this._workers.push(worker)
    return worker
  }

  addStep (): FitStep {
    const step: FitStep = { value: 0, samples: [], weight: 0, sum: 0 }
    this._steps.push(step)
    return step
  }

  /** Adds the logarithm of the milliseconds per percent that a step took at a worker. `share` is its weight relative to an independent sample, at most 1. */
  addSample (worker: FitWorker, step: FitStep, logMs: number, share: number): void {
    const sample = { worker, step, logMs, share, weight: 0 }
    this._samples.push(sample)
    step.samples.push(sample)
    worker.samples.push(sample)
    worker.sampleCount += share
  }

  /** Fits the values of all workers and steps to the samples. */
  fit (): void {
    this._startFromMedians()
    for (const noise of NOISE_STAGES) this._fitWithNoise(noise)
    const measured = this._measureNoise()
    const noise = measured > NOTICEABLE_NOISE ? Math.min(MAX_NOISE, measured) : MIN_NOISE
    this._fitWithNoise(noise)
    this._updateInformation()
    for (const sample of this._samples) sample.worker.fittingCount += sample.share * computeInlierShare(computeResidual(sample), noise)
  }

  /**
   * Starts from the prior values. Where the samples of a worker contradict its prior value, their median takes its place: all of them would otherwise be taken for
   * outliers.
   */
  private _startFromMedians (): void {
    this._takeStepMedians()
    for (const worker of this._workers) {
      if (worker.sampleCount < CONTRADICTING_SAMPLES) continue
      const median = computeMedian(worker.samples.map(({ step, logMs }) => logMs - step.value))
      if (Math.abs(median - worker.value) < CONTRADICTION) continue
      worker.value = median
      worker.prior = { mean: median, deviation: worker.prior.deviation }
    }
    this._takeStepMedians()
  }

  private _takeStepMedians (): void {
    for (const step of this._steps) step.value = computeMedian(step.samples.map(({ worker, logMs }) => logMs - worker.value))
  }

  private _fitWithNoise (noise: number): void {
    for (const sample of this._samples) sample.weight = sample.share * computeInlierShare(computeResidual(sample), noise) / noise ** 2
    this._fitWorkers()
    this._updateSteps()
  }

  /** Estimates the standard deviation of the error from the median deviation, scaled up for the values that were fitted. */
  private _measureNoise (): number {
    this._updateInformation()
    const count = this._samples.length
    const fitted = this._workers.reduce((sum, { prior, information }) => sum + 1 - prior.deviation ** -2 / information, this._steps.length)
    if (count - fitted < MIN_FREEDOM) return MIN_NOISE
    return MAD_SCALE * computeMedian(this._samples.map(sample => Math.abs(computeResidual(sample)))) * Math.sqrt(count / (count - fitted))
  }

  /** Solves the normal equations of the workers, from which the steps are eliminated, by the conjugate gradient method. */
  private _fitWorkers (): void {
    this._updateInformation()
    this._applyEquations(sample => sample.logMs - sample.worker.value)
    let energy = 0
    for (const worker of this._workers) {
      worker.residual = worker.image + (worker.prior.mean - worker.value) / worker.prior.deviation ** 2
      worker.direction = worker.residual / worker.information
      energy += worker.residual * worker.direction
    }
    for (let step = 0; step < MAX_SOLVER_STEPS && energy > SOLVER_TOLERANCE; step++) energy = this._takeSolverStep(energy)
  }

  private _takeSolverStep (energy: number): number {
    this._applyEquations(sample => sample.worker.direction)
    let curvature = 0
    for (const worker of this._workers) {
      worker.image += worker.direction / worker.prior.deviation ** 2
      curvature += worker.direction * worker.image
    }
    let nextEnergy = 0
    for (const worker of this._workers) {
      worker.value += energy / curvature * worker.direction
      worker.residual -= energy / curvature * worker.image
      nextEnergy += worker.residual ** 2 / worker.information
    }
    for (const worker of this._workers) worker.direction = worker.residual / worker.information + nextEnergy / energy * worker.direction
    return nextEnergy
  }

  /** Sums into each worker's `image` the weighted differences between a quantity of its samples and the mean of that quantity over the sample's step. */
  private _applyEquations (getQuantity: (sample: FitSample) => number): void {
    this._sumOverSteps(getQuantity)
    for (const worker of this._workers) worker.image = 0
    for (const sample of this._samples) {
      const { worker, step, weight } = sample
      if (weight > 0) worker.image += weight * (getQuantity(sample) - step.sum / step.weight)
    }
  }

  private _updateInformation (): void {
    this._sumOverSteps(() => 0)
    for (const worker of this._workers) worker.information = worker.prior.deviation ** -2
    for (const { worker, step, weight } of this._samples) if (weight > 0) worker.information += weight * (1 - weight / step.weight)
  }

  private _updateSteps (): void {
    this._sumOverSteps(sample => sample.logMs - sample.worker.value)
    for (const step of this._steps) if (step.weight > 0) step.value = step.sum / step.weight
  }

  private _sumOverSteps (getQuantity: (sample: FitSample) => number): void {
    for (const step of this._steps) {
      step.weight = 0
      step.sum = 0
    }
    for (const sample of this._samples) {
      sample.step.weight += sample.weight
      sample.step.sum += sample.weight * getQuantity(sample)
    }
  }
}

function computeResidual ({ worker, step, logMs }: FitSample): number {
  return logMs - step.value - worker.value
}

/** Returns the probability that a sample with the given residual is no outlier. */
function computeInlierShare (residual: number, noise: number): number {
  const density = (1 - OUTLIER_SHARE) * Math.exp(-0.5 * (residual / noise) ** 2) / (noise * Math.sqrt(2 * Math.PI))
  return density / (density + OUTLIER_SHARE * OUTLIER_DENSITY)
}
