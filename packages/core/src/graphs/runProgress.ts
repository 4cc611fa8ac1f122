/**
 * What a run's listed progress says of its speed: when it ends, how long it has worked, whether it stands still. A planner may see a
 * run for the first time when it is half done, after a change of the planner or a start from a checkpoint; speed counts from there.
 */
import { RunPhase } from './jobState.js'
import type { RunState } from './jobState.js'

/** Progress seen below this, in percent, says too little of the time that is left. */
const MIN_OBSERVED_PERCENT = 10
/** Progress is listed each second; this long without any, beyond what two steps of it take, means that a run stands still. */
const STALL_MS = 2_000
const WHOLE_PERCENT = 100
/** Workers list no more than this before the end; members of a gang that are done before the others stay there. */
const MAX_LISTED_PERCENT = 99

/** Takes over what a worker lists. */
export function recordProgress (run: RunState, percent: number, now: number): void {
  run.firstObservation ??= { percent: isObservedFromStart(run) ? 0 : percent, at: isObservedFromStart(run) ? run.runningSince ?? now : now }
  if (percent === run.percent) return
  run.percent = percent
  run.percentChangedAt = now
}

/** Predicts when a run ends, on the planner's clock; `likeMs` is what its like takes. Members of a gang end together, with the last of them. */
export function predictEnd (run: RunState, now: number, expectedMs: number, stopGraceMs: number): number {
  const { step } = run.task
  const runs = step.spec.isGang ? step.tasks.flatMap(task => task.runs) : [run]
  return Math.max(...runs.map(member => predictRunEnd(member, now, expectedMs, stopGraceMs)))
}

function predictRunEnd (run: RunState, now: number, expectedMs: number, stopGraceMs: number): number {
  if (run.phase === RunPhase.stopping) return (run.stoppingSince ?? now) + stopGraceMs
  if (run.runningSince === undefined) return Infinity
  const msPerPercent = measureMsPerPercent(run)
  if (msPerPercent !== undefined && run.percent < WHOLE_PERCENT) return run.percentChangedAt + msPerPercent * (WHOLE_PERCENT - run.percent)
  return now + Math.max(0, expectedMs - estimateWorkedMs(run, now, expectedMs))
}

/** Estimates how long a run has worked, in milliseconds, also before this planner first saw it. */
export function estimateWorkedMs (run: RunState, now: number, expectedMs: number): number {
  if (run.runningSince === undefined) return 0
  const observedMs = now - run.runningSince
  const percentBefore = run.firstObservation?.percent ?? 0
  return observedMs + percentBefore * (measureMsPerPercent(run) ?? expectedMs / WHOLE_PERCENT)
}

/** Returns for how long a run has stood still, beyond what two steps of its progress may take; undefined while it moves. */
export function measureStall (run: RunState, now: number): number | undefined {
  const { spec } = run.task.step
  if (run.phase !== RunPhase.running || spec.isLongRunning || (spec.isGang && run.percent >= MAX_LISTED_PERCENT)) return undefined
  const { firstObservation } = run
  if (firstObservation === undefined || run.percent <= firstObservation.percent) return undefined
  const msPerPercent = (run.percentChangedAt - firstObservation.at) / (run.percent - firstObservation.percent)
  const stalledMs = now - run.percentChangedAt
  return stalledMs < STALL_MS + msPerPercent * 2 ? undefined : stalledMs
}

/** Milliseconds a percent takes; undefined before enough of them were seen. */
function measureMsPerPercent (run: RunState): number | undefined {
  if (run.firstObservation === undefined) return undefined
  const observedPercent = run.percent - run.firstObservation.percent
  return observedPercent < MIN_OBSERVED_PERCENT ? undefined : (run.percentChangedAt - run.firstObservation.at) / observedPercent
}

function isObservedFromStart (run: RunState): boolean {
  return !run.isAdopted && run.startCheckpoint === ''
}
