/**
 * When a new request would start and finish, from the waiting requests ahead of it, its group's share of
 * the slots, and the run times seen.
 */
import type { CallerQueue, RequestGroup } from './queueNodes.js'
import type { QueueTree } from './queueTree.js'
import { estimateGroupShare } from './shareEstimate.js'

/** Observations of a group below which its class speaks for it. */
const MIN_OBSERVATIONS = 8
const SLOW_QUANTILE = 0.9
const TYPICAL_QUANTILE = 0.5

/** Prediction for one request, in milliseconds from now. */
export interface FinishPrediction {
  /** Expected wait when slots come free evenly. */
  readonly waitMs: number
  /** Wait when all slots come free at the same time, at the end of each run. */
  readonly slowWaitMs: number
  readonly runMs: number
}

/** Run times that speak for a group. */
function getRunTimes (group: RequestGroup): RequestGroup['runTimes'] {
  return group.runTimes.count >= MIN_OBSERVATIONS ? group.runTimes : group.classNode.runTimes
}

/** Mean run time of a group in milliseconds; 0 before anything ran. */
export function estimateMeanRun (group: RequestGroup): number {
  return getRunTimes(group).meanMs
}

/** Median run time of a group in milliseconds; 0 before anything ran. */
export function estimateTypicalRun (group: RequestGroup): number {
  return getRunTimes(group).estimateQuantile(TYPICAL_QUANTILE)
}

/** Predicts wait and run of a request that joins `callerQueue`, or a new caller when undefined. */
export function predictFinish (tree: QueueTree, group: RequestGroup, callerQueue: CallerQueue | undefined, slots: number): FinishPrediction {
  const runMs = getRunTimes(group).estimateQuantile(SLOW_QUANTILE)
  if (tree.running < slots && tree.waiting === 0) return { waitMs: 0, slowWaitMs: 0, runMs }
  const share = estimateGroupShare(tree, group, slots)
  const ownWaiting = callerQueue?.items.size ?? 0
  const otherCallers = group.level.active.size - (ownWaiting > 0 ? 1 : 0)
  const ahead = Math.min(group.waiting, ownWaiting + (ownWaiting + 1) * otherCallers)
  const headroom = Math.max(0, share - group.running)
  const rounds = Math.max(0, ahead + 1 - headroom) / share
  const meanMs = estimateMeanRun(group)
  const slotWaitMs = estimateSlotWait(tree, slots)
  return { waitMs: slotWaitMs + rounds * meanMs, slowWaitMs: slotWaitMs + Math.ceil(rounds) * meanMs, runMs }
}

/** Time until the next slot comes free, on average. */
function estimateSlotWait (tree: QueueTree, slots: number): number {
  if (tree.running < slots) return 0
  let slotMs = 0
  for (const node of tree.classes.values()) slotMs += node.running * node.runTimes.meanMs
  return slotMs / Math.max(1, tree.running) / slots
}
