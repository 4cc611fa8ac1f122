/**
 * Measures how fast the runs of one worker work: the time for one percent of progress, by the worker's own clock, between the first and the latest list of runs in
 * which their progress has grown.
 */
import { makeRunKey } from '@dragonflylever/core/graphs/index'
import type { RunListing } from '@dragonflylever/core/graphs/index'

/** Progress of a run in a list. `gapMs` is the time since the list before, in which the progress had not been reached yet. */
interface ProgressPoint {
  readonly percent: number
  readonly clockMs: number
  readonly gapMs: number
}

interface MeasuredRun {
  first: ProgressPoint | undefined
  /** Start of the latest stretch, whose speed is compared with the mean. */
  stretchStart: ProgressPoint | undefined
  percent: number
  listedAt: number
  msPerPercent: number | undefined
}

/** Workers list whole percents. A member of a gang that is done before the others stays at 99. */
const MAX_PERCENT = 98
/** Largest error of a measured speed, relative to it: both points may be off by a whole percent, or by the time between two lists if that is shorter. */
const MAX_ERROR = 0.2
/** A run whose latest stretch is faster than its mean by this factor was slowed down before; it is measured anew from there on. Errors alone make a factor of 1.5. */
const RECOVERY_FACTOR = 1.6
/** Number of digits of a speed that are reported. */
const REPORTED_DIGITS = 4

export class RunSpeedMeter {
  private _runs = new Map<string, MeasuredRun>()

  /** Applies the list of a worker's runs at a time of the worker's clock. Returns the listings with the speeds that are known. */
  measure (running: readonly RunListing[], clockMs: number): RunListing[] {
    const known = this._runs
    this._runs = new Map()
    return running.map(listing => {
      const key = makeRunKey(listing)
      const run = known.get(key) ?? { first: undefined, stretchStart: undefined, percent: 0, listedAt: -Infinity, msPerPercent: undefined }
      this._runs.set(key, run)
      updateRun(run, listing, clockMs)
      return run.msPerPercent === undefined ? listing : { ...listing, msPerPercent: Number(run.msPerPercent.toPrecision(REPORTED_DIGITS)) }
    })
  }
}

/** The first list of a run shows whether it works only if it doesn't start from a checkpoint: that progress is listed before the run works. */
function updateRun (run: MeasuredRun, { percent, checkpoint }: RunListing, clockMs: number): void {
  const isAtWork = percent > run.percent && (run.listedAt !== -Infinity || checkpoint === '')
  if (isAtWork && percent <= MAX_PERCENT && clockMs > run.listedAt) recordProgress(run, { percent, clockMs, gapMs: clockMs - run.listedAt })
  run.percent = percent
  run.listedAt = clockMs
}

function recordProgress (run: MeasuredRun, point: ProgressPoint): void {
  run.first ??= point
  run.stretchStart ??= point
  const stretch = measureSpeed(run.stretchStart, point)
  if (stretch !== undefined) run.stretchStart = point
  if (stretch !== undefined && run.msPerPercent !== undefined && stretch * RECOVERY_FACTOR < run.msPerPercent) {
    run.first = point
    run.msPerPercent = stretch
  }
  run.msPerPercent = measureSpeed(run.first, point) ?? run.msPerPercent
}

/** Returns the milliseconds per percent between two points; undefined if they are too close for a useful value. */
function measureSpeed (from: ProgressPoint, to: ProgressPoint): number | undefined {
  const elapsedMs = to.clockMs - from.clockMs
  const msPerPercent = elapsedMs / (to.percent - from.percent)
  const errorMs = Math.min(from.gapMs, msPerPercent) + Math.min(to.gapMs, msPerPercent)
  return elapsedMs > 0 && errorMs <= elapsedMs * MAX_ERROR ? msPerPercent : undefined
}
