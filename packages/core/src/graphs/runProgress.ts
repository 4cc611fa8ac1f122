/**
 * What a run's listed progress says of its speed: when it ends, how long it has worked, whether it stands still. A planner may see a
 * run for the first time when it is half done, after a change of the planner or a start from a checkpoint; speed counts from there.
 */
import { RunPhase } from './jobState.js'
import type { RunState } from './jobState.js'

/** Progress seen below this, in percent, says too little of the time that is left. */
const MIN_TELLING_PERCENT = 10
/** Progress is listed each second; this long without any, beyond what two steps of it take, means that a run stands still. */
const STALL_MS = 2_000
const WHOLE_PERCENT = 100
/** Workers list no more than this before the end; members of a gang that are done before the others stay there. */
const LAST_PERCENT = 99

/** Takes over what a worker lists. */
export function noteProgress (run: RunState, percent: number, now: number): void {
  run.firstSight ??= { percent: isFromZero(run) ? 0 : percent, at: isFromZero(run) ? run.runningSince ?? now : now }
  if (percent === run.percent) return
  run.percent = percent
  run.percentMovedAt = now
}

/** Predicts when a run ends, on the planner's clock; `likeMs` is what its like takes. Members of a gang end together, with the last of them. */
export function predictEnd (run: RunState, now: number, likeMs: number, stopGraceMs: number): number {
  const { step } = run.task
  const runs = step.spec.isGang ? step.tasks.flatMap(task => task.runs) : [run]
  return Math.max(...runs.map(one => predictOwnEnd(one, now, likeMs, stopGraceMs)))
}

function predictOwnEnd (run: RunState, now: number, likeMs: number, stopGraceMs: number): number {
  if (run.phase === RunPhase.stopping) return (run.stoppingSince ?? now) + stopGraceMs
  if (run.runningSince === undefined) return Infinity
  const msPerPercent = measureSpeed(run)
  if (msPerPercent !== undefined && run.percent < WHOLE_PERCENT) return run.percentMovedAt + msPerPercent * (WHOLE_PERCENT - run.percent)
  return now + Math.max(0, likeMs - estimateWorkedMs(run, now, likeMs))
}

/** Estimates how long a run has worked, in milliseconds, also before this planner first saw it. */
export function estimateWorkedMs (run: RunState, now: number, likeMs: number): number {
  if (run.runningSince === undefined) return 0
  const seenMs = now - run.runningSince
  const before = run.firstSight?.percent ?? 0
  return seenMs + before * (measureSpeed(run) ?? likeMs / WHOLE_PERCENT)
}

/** Returns for how long a run has stood still, beyond what two steps of its progress may take; undefined while it moves. */
export function measureStall (run: RunState, now: number): number | undefined {
  const { spec } = run.task.step
  if (run.phase !== RunPhase.running || spec.isLongRunning || (spec.isGang && run.percent >= LAST_PERCENT)) return undefined
  const { firstSight } = run
  if (firstSight === undefined || run.percent <= firstSight.percent) return undefined
  const msPerPercent = (run.percentMovedAt - firstSight.at) / (run.percent - firstSight.percent)
  const stalledMs = now - run.percentMovedAt
  return stalledMs < STALL_MS + msPerPercent * 2 ? undefined : stalledMs
}

/** Milliseconds a percent takes; undefined before enough of them were seen. */
function measureSpeed (run: RunState): number | undefined {
  if (run.firstSight === undefined) return undefined
  const seen = run.percent - run.firstSight.percent
  return seen < MIN_TELLING_PERCENT ? undefined : (run.percentMovedAt - run.firstSight.at) / seen
}

function isFromZero (run: RunState): boolean {
  return !run.isTakenOver && run.startCheckpoint === ''
}
