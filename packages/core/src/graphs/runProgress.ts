/**
 * Derives from a run's reported progress when the run ends, how long it has worked and whether it has stalled. A planner may first
 * observe a run that is half done, after a change of leader or a start from a checkpoint, so speed is measured from that observation.
 */
import { RunPhase } from './jobState.js'
import type { RunState } from './jobState.js'

/** Minimum observed progress, in percent, from which the remaining time can be predicted. */
const MIN_OBSERVED_PERCENT = 10
/**
 * A run has stalled once its progress has not changed for this long plus the time that it takes for two percent of progress. Workers list
 * progress each second.
 */
const STALL_MS = 2_000
const WHOLE_PERCENT = 100
/** Highest progress that workers list before a run ends. A member of a gang that finishes before the others stays at this value. */
const MAX_LISTED_PERCENT = 99

/** Records the progress that a worker lists. */
export function recordProgress (run: RunState, percent: number, now: number): void {
  run.firstObservation ??= { percent: isObservedFromStart(run) ? 0 : percent, at: isObservedFromStart(run) ? run.runningSince ?? now : now }
  if (percent === run.percent) return
  run.percent = percent
  run.percentChangedAt = now
}

/**
 * Predicts when a run ends, on the planner's clock; Infinity when that is unknown, as for a run that lasts until it is stopped. `estimateRunTime` returns the
 * expected run time of a whole task at the worker of a run. The members of a gang end together with the last of them.
 */
export function predictEnd (run: RunState, now: number, estimateRunTime: (run: RunState) => number, stopGraceMs: number): number {
  const { step } = run.task
  const runs = step.spec.isGang ? step.tasks.flatMap(task => task.runs) : [run]
  return extendPassedEnd(Math.max(...runs.map(member => predictRunEnd(member, now, estimateRunTime(member), stopGraceMs))), now)
}

/** Predicts an end again that has not come when it was expected: the run is expected to take as long again as it is overdue. */
function extendPassedEnd (endsAt: number, now: number): number {
  return endsAt < now ? now + (now - endsAt) : endsAt
}

function predictRunEnd (run: RunState, now: number, expectedMs: number, stopGraceMs: number): number {
  if (run.phase === RunPhase.stopping) return (run.stoppingSince ?? now) + stopGraceMs
  if (run.runningSince === undefined || run.task.step.spec.isLongRunning) return Infinity
  const msPerPercent = run.msPerPercent ?? measureMsPerPercent(run)
  if (msPerPercent === undefined || run.percent >= WHOLE_PERCENT) return now + expectedMs - estimateWorkedMs(run, now, expectedMs)
  // A stalled run still has all of the rest to do.
  const workedUntil = measureStall(run, now) === undefined ? run.percentChangedAt : now
  return workedUntil + msPerPercent * (WHOLE_PERCENT - run.percent)
}

/** Estimates how long a run has worked, in milliseconds, including the time before this planner first observed the run. */
export function estimateWorkedMs (run: RunState, now: number, expectedMs: number): number {
  if (run.runningSince === undefined) return 0
  const observedMs = now - run.runningSince
  const before = run.firstObservation?.percent ?? 0
  return observedMs + before * (measureMsPerPercent(run) ?? expectedMs / WHOLE_PERCENT)
}

/** Returns how long a run has made no progress, in milliseconds; undefined when the run has not stalled. */
export function measureStall (run: RunState, now: number): number | undefined {
  const { spec } = run.task.step
  if (run.phase !== RunPhase.running || spec.isLongRunning || (spec.isGang && run.percent >= MAX_LISTED_PERCENT)) return undefined
  const { firstObservation } = run
  if (firstObservation === undefined || run.percent <= firstObservation.percent) return undefined
  const msPerPercent = (run.percentChangedAt - firstObservation.at) / (run.percent - firstObservation.percent)
  const stalledMs = now - run.percentChangedAt
  return stalledMs < STALL_MS + msPerPercent * 2 ? undefined : stalledMs
}

/** Returns the milliseconds that a run takes for one percent of progress; undefined until enough progress was observed. */
function measureMsPerPercent (run: RunState): number | undefined {
  if (run.firstObservation === undefined) return undefined
  const seen = run.percent - run.firstObservation.percent
  return seen < MIN_OBSERVED_PERCENT ? undefined : (run.percentChangedAt - run.firstObservation.at) / seen
}

function isObservedFromStart (run: RunState): boolean {
  return !run.isAdopted && run.startCheckpoint === ''
}
