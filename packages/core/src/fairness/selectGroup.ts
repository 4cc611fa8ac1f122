/**
 * Which group gets the next free slot: organisations below their guarantee first, then classes below their
 * equal share, then whoever has used least. Slots held back for more urgent classes are left alone.
 */
import type { ClassNode, OrganisationNode, RequestGroup } from './queueNodes.js'
import type { QueueTree } from './queueTree.js'
import type { QueueCapacity } from './requestPolicy.js'
import { computeReserveAgainst, getStartTarget } from './slotReserve.js'
import type { ReserveOptions } from './slotReserve.js'

/** Selects the group; undefined when nothing may start now. */
export function selectGroup (tree: QueueTree, capacity: QueueCapacity, usableSlots: number, reserve: ReserveOptions): RequestGroup | undefined {
  if (tree.waiting === 0) return undefined
  return selectGuaranteed(tree) ?? selectShared(tree, capacity, usableSlots, reserve)
}

function selectGuaranteed (tree: QueueTree): RequestGroup | undefined {
  let best: OrganisationNode | undefined
  for (const node of tree.organisations.values()) {
    if (node.waiting === 0 || node.running >= node.guaranteedSlots) continue
    if (best === undefined || node.running / node.guaranteedSlots < best.running / best.guaranteedSlots) best = node
  }
  return best === undefined ? undefined : selectWithin(best)
}

/** Among an organisation's classes the one that runs least, the more urgent one on a tie. */
function selectWithin (organisation: OrganisationNode): RequestGroup | undefined {
  let best: RequestGroup | undefined
  for (const group of organisation.groups.values()) {
    if (group.waiting === 0) continue
    if (best === undefined || isBefore(group, best)) best = group
  }
  return best
}

function isBefore (one: RequestGroup, other: RequestGroup): boolean {
  if (one.running !== other.running) return one.running < other.running
  return getStartTarget(one.classNode) < getStartTarget(other.classNode)
}

function selectShared (tree: QueueTree, capacity: QueueCapacity, usableSlots: number, reserve: ReserveOptions): RequestGroup | undefined {
  const free = capacity.slots - tree.running
  const mayHoldBack = free <= capacity.slots * reserve.maxShare
  const equalShare = usableSlots / tree.level.active.size
  let best: ClassNode | undefined
  for (const node of tree.level.active) {
    if (mayHoldBack && free <= computeReserveAgainst(tree, node, capacity, reserve)) continue
    if (best === undefined || isClassBefore(node, best, equalShare)) best = node
  }
  return best?.level.select()
}

function isClassBefore (one: ClassNode, other: ClassNode, equalShare: number): boolean {
  const isBelow = one.running < equalShare
  const isOtherBelow = other.running < equalShare
  if (isBelow !== isOtherBelow) return isBelow
  if (one.virtualMs !== other.virtualMs) return one.virtualMs < other.virtualMs
  return getStartTarget(one) < getStartTarget(other)
}
