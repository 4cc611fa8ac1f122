/**
 * Predicts when a new request would start and finish, from the waiting requests ahead of it, its group's share of
 * the slots, and the observed run times.
 */
import type { CallerQueue, RequestGroup } from './queueNodes.js'
import type { QueueTree } from './queueTree.js'
import { estimateGroupShare } from './shareEstimate.js'

/** Minimum number of run times observed for a group; with fewer, the run times of its class are used instead. */
const MIN_GROUP_SAMPLES = 8
const SLOW_RUN_QUANTILE = 0.9
const MEDIAN_QUANTILE = 0.5

/** Predicted wait and run time of one request, in milliseconds. */
export interface FinishPrediction {
  /** Expected wait if the running requests end at evenly spread times, so that the slots become free one after the other. */
  readonly waitMs: number
  /** Expected wait if all running requests end at the same time, so that slots become free only once per mean run time. */
  readonly worstCaseWaitMs: number
  readonly runMs: number
}

/** Returns the run times of a group or, while the group has too few of them, those of its class. */
function getRunTimes (group: RequestGroup): RequestGroup['runTimes'] {
  return group.runTimes.count >= MIN_GROUP_SAMPLES ? group.runTimes : group.classNode.runTimes
}

/** Returns the mean run time of a group in milliseconds; 0 before the first observation. */
export function estimateMeanRunTime (group: RequestGroup): number {
  return getRunTimes(group).meanMs
}

/** Returns the median run time of a group in milliseconds; 0 before the first observation. */
export function estimateMedianRunTime (group: RequestGroup): number {
  return getRunTimes(group).estimateQuantile(MEDIAN_QUANTILE)
}

/** Predicts the wait and the run time of a request that joins `callerQueue`, which is undefined for a new caller. */
export function predictFinish (tree: QueueTree, group: RequestGroup, callerQueue: CallerQueue | undefined, slots: number): FinishPrediction {
  const runMs = getRunTimes(group).estimateQuantile(SLOW_RUN_QUANTILE)
  if (tree.running < slots && tree.waiting === 0) return { waitMs: 0, worstCaseWaitMs: 0, runMs }
  const share = estimateGroupShare(tree, group, slots)
  const ownWaiting = callerQueue?.items.size ?? 0
  const otherCallers = group.level.active.size - (ownWaiting > 0 ? 1 : 0)
  const requestsAhead = Math.min(group.waiting, ownWaiting + (ownWaiting + 1) * otherCallers)
  const headroom = Math.max(0, share - group.running)
  const rounds = Math.max(0, requestsAhead + 1 - headroom) / share
  const meanMs = estimateMeanRunTime(group)
  const slotWaitMs = estimateSlotWait(tree, slots)
  return { waitMs: slotWaitMs + rounds * meanMs, worstCaseWaitMs: slotWaitMs + Math.ceil(rounds) * meanMs, runMs }
}

/** Estimates the mean time until the next slot is released, in milliseconds. */
function estimateSlotWait (tree: QueueTree, slots: number): number {
  if (tree.running < slots) return 0
  let slotMs = 0
  for (const node of tree.classes.values()) slotMs += node.running * node.runTimes.meanMs
  return slotMs / Math.max(1, tree.running) / slots
}
