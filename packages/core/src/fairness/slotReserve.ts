/**
 * Computes the slots reserved for classes with a start target: those needed for expected arrivals, less the ones that
 * running requests are expected to release in time.
 */
import type { ClassNode } from './queueNodes.js'
import type { QueueTree } from './queueTree.js'
import { estimateClassShare } from './shareEstimate.js'
import type { QueueCapacity } from './requestPolicy.js'

/** Parameters of the slots reserved for classes with a start target. */
export interface SlotReserveOptions {
  /** Fraction of the start target within which a slot should become free. */
  readonly targetShare: number
  /** Maximum fraction of all slots that may be reserved. */
  readonly maxShare: number
}

export const DEFAULT_RESERVE: SlotReserveOptions = { targetShare: 0.5, maxShare: 0.25 }
/** Number of standard deviations of a Poisson distribution by which the peak demand of a class is taken to exceed its mean demand. */
const PEAK_STANDARD_DEVIATIONS = 2
const SLOW_RUN_QUANTILE = 0.9

/** Returns the number of slots to reserve for one class. */
export function computeReservedSlots (tree: QueueTree, node: ClassNode, capacity: QueueCapacity, options: SlotReserveOptions): number {
  const { startWithinMs } = node.targets
  if (startWithinMs === undefined) return 0
  const windowMs = startWithinMs * options.targetShare
  const part = Math.min(1, capacity.slots / Math.max(1, capacity.fleetSlots))
  const meanBusySlots = node.arrivalRate * node.runTimes.meanMs / part
  const peakSlots = meanBusySlots + PEAK_STANDARD_DEVIATIONS * Math.sqrt(meanBusySlots) + 1
  const missingSlots = peakSlots - (node.running + estimateReleasedSlots(tree, windowMs)) / part
  const unusedShare = estimateClassShare(tree, node, capacity.slots) - node.running
  const maxReserve = Math.min(unusedShare, capacity.slots * options.maxShare)
  return Math.max(0, Math.min(Math.round(missingSlots * part), Math.floor(maxReserve)))
}

/** Returns the number of slots to reserve for the classes that are more urgent than `node`. */
export function computeSlotsReservedForMoreUrgent (tree: QueueTree, node: ClassNode, capacity: QueueCapacity, options: SlotReserveOptions): number {
  let reserve = 0
  for (const other of tree.classes.values()) {
    if (other !== node && isMoreUrgent(other, node)) reserve += computeReservedSlots(tree, other, capacity, options)
  }
  return Math.min(reserve, Math.floor(capacity.slots * options.maxShare))
}

/** True when `node` has a tighter start target than `other`. */
export function isMoreUrgent (node: ClassNode, other: ClassNode): boolean {
  return getStartTarget(node) < getStartTarget(other)
}

/** Returns the start target of a class in milliseconds; `Infinity` when there is none. */
export function getStartTarget (node: ClassNode): number {
  return node.targets.startWithinMs ?? Infinity
}

function estimateReleasedSlots (tree: QueueTree, windowMs: number): number {
  let freed = 0
  for (const node of tree.classes.values()) {
    if (node.running === 0) continue
    const slowMs = node.runTimes.estimateQuantile(SLOW_RUN_QUANTILE)
    freed += node.running * (slowMs <= windowMs ? 1 : windowMs / slowMs)
  }
  return freed
}
