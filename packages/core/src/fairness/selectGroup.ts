/**
 * Selects the group that gets the next free slot: organisations below their guarantee come first, then classes below
 * their equal share, then the class with the least charged slot time. Slots reserved for more urgent classes are kept free.
 */
import type { ClassNode, OrganisationNode, RequestGroup } from './queueNodes.js'
import type { QueueTree } from './queueTree.js'
import type { QueueCapacity } from './requestPolicy.js'
import { computeSlotsReservedForMoreUrgent, getStartTarget } from './slotReserve.js'
import type { SlotReserveOptions } from './slotReserve.js'

/** Returns the group whose request starts next; undefined when no group may start a request now. */
export function selectGroup (tree: QueueTree, capacity: QueueCapacity, usableSlots: number, reserve: SlotReserveOptions): RequestGroup | undefined {
  if (tree.waiting === 0) return undefined
  return selectGuaranteedGroup(tree) ?? selectGroupByFairShare(tree, capacity, usableSlots, reserve)
}

function selectGuaranteedGroup (tree: QueueTree): RequestGroup | undefined {
  let best: OrganisationNode | undefined
  for (const node of tree.organisations.values()) {
    if (node.waiting === 0 || node.running >= node.guaranteedSlots) continue
    if (best === undefined || node.running / node.guaranteedSlots < best.running / best.guaranteedSlots) best = node
  }
  return best === undefined ? undefined : selectGroupInOrganisation(best)
}

/** Selects the group of an organisation with the fewest running requests; on a tie, the one with the tighter start target. */
function selectGroupInOrganisation (organisation: OrganisationNode): RequestGroup | undefined {
  let best: RequestGroup | undefined
  for (const group of organisation.groups.values()) {
    if (group.waiting === 0) continue
    if (best === undefined || isGroupBefore(group, best)) best = group
  }
  return best
}

function isGroupBefore (group: RequestGroup, other: RequestGroup): boolean {
  if (group.running !== other.running) return group.running < other.running
  return getStartTarget(group.classNode) < getStartTarget(other.classNode)
}

function selectGroupByFairShare (tree: QueueTree, capacity: QueueCapacity, usableSlots: number, reserve: SlotReserveOptions): RequestGroup | undefined {
  const free = capacity.slots - tree.running
  const mayBeReserved = free <= capacity.slots * reserve.maxShare
  const equalShare = usableSlots / tree.level.active.size
  let best: ClassNode | undefined
  for (const node of tree.level.active) {
    if (mayBeReserved && free <= computeSlotsReservedForMoreUrgent(tree, node, capacity, reserve)) continue
    if (best === undefined || isClassBefore(node, best, equalShare)) best = node
  }
  return best?.level.select()
}

function isClassBefore (node: ClassNode, other: ClassNode, equalShare: number): boolean {
  const isBelow = node.running < equalShare
  const isOtherBelow = other.running < equalShare
  if (isBelow !== isOtherBelow) return isBelow
  if (node.virtualMs !== other.virtualMs) return node.virtualMs < other.virtualMs
  return getStartTarget(node) < getStartTarget(other)
}
