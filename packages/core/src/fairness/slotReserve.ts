/**
 * Slots kept free for classes with a start target. Only as many are kept as the running requests are not
 * expected to free in time for the arrivals expected.
 */
import type { ClassNode } from './queueNodes.js'
import type { QueueTree } from './queueTree.js'
import { estimateClassShare } from './shareEstimate.js'
import type { QueueCapacity } from './requestPolicy.js'

/** Constants of the reserve. */
export interface ReserveOptions {
  /** Part of the start target within which a slot should come free. */
  readonly targetShare: number
  /** Most slots held back, as a part of all. */
  readonly maxShare: number
}

export const DEFAULT_RESERVE: ReserveOptions = { targetShare: 0.5, maxShare: 0.25 }
/** Standard deviations of a Poisson load that a class's need of slots is taken to swing by. */
const PEAK_DEVIATIONS = 2
const SLOW_QUANTILE = 0.9

/** Returns the slots to keep free for one class. */
export function computeReserve (tree: QueueTree, node: ClassNode, capacity: QueueCapacity, options: ReserveOptions): number {
  const { startWithinMs } = node.targets
  if (startWithinMs === undefined) return 0
  const windowMs = startWithinMs * options.targetShare
  const part = Math.min(1, capacity.slots / Math.max(1, capacity.fleetSlots))
  const busy = node.arrivalRate * node.runTimes.meanMs / part
  const peak = busy + PEAK_DEVIATIONS * Math.sqrt(busy) + 1
  const missing = peak - (node.running + estimateFreed(tree, windowMs)) / part
  const unused = estimateClassShare(tree, node, capacity.slots) - node.running
  const most = Math.min(unused, capacity.slots * options.maxShare)
  return Math.max(0, Math.min(Math.round(missing * part), Math.floor(most)))
}

/** Returns the slots that classes more urgent than `node` need free. */
export function computeReserveAgainst (tree: QueueTree, node: ClassNode, capacity: QueueCapacity, options: ReserveOptions): number {
  let reserve = 0
  for (const other of tree.classes.values()) {
    if (other !== node && isMoreUrgent(other, node)) reserve += computeReserve(tree, other, capacity, options)
  }
  return Math.min(reserve, Math.floor(capacity.slots * options.maxShare))
}

/** True when `one` has a tighter start target than `other`. */
export function isMoreUrgent (one: ClassNode, other: ClassNode): boolean {
  return getStartTarget(one) < getStartTarget(other)
}

/** Start target in milliseconds; infinite when there is none. */
export function getStartTarget (node: ClassNode): number {
  return node.targets.startWithinMs ?? Infinity
}

function estimateFreed (tree: QueueTree, windowMs: number): number {
  let freed = 0
  for (const node of tree.classes.values()) {
    if (node.running === 0) continue
    const slowMs = node.runTimes.estimateQuantile(SLOW_QUANTILE)
    freed += node.running * (slowMs <= windowMs ? 1 : windowMs / slowMs)
  }
  return freed
}
