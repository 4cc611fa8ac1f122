/**
 * Estimates how many slots a group gets as long as the set of groups with waiting requests does not change: max-min fair shares over
 * classes, then over the organisations of the class, but never below the organisation's guarantee.
 */
import type { ClassNode, OrganisationNode, RequestGroup } from './queueNodes.js'
import type { QueueTree } from './queueTree.js'

const MIN_SHARE_SLOTS = 0.01

/** Estimates how many of `slots` slots a class gets when it has waiting requests. */
export function estimateClassShare (tree: QueueTree, node: ClassNode, slots: number): number {
  let backlogged = 1
  let usedByOthers = 0
  for (const other of tree.classes.values()) {
    if (other === node) continue
    if (other.waiting > 0) backlogged++
    else usedByOthers += other.running
  }
  return Math.max(slots / (tree.classes.size - 1 || 1), (slots - usedByOthers) / backlogged)
}

/** Estimates how many of `slots` slots a group gets when it has waiting requests. */
export function estimateGroupShare (tree: QueueTree, group: RequestGroup, slots: number): number {
  const { classNode, organisationNode } = group
  const classShare = Math.min(estimateClassShare(tree, classNode, slots), slots - sumGuaranteesInUse(tree, organisationNode))
  const isActive = classNode.level.active.has(group)
  const backlogged = classNode.level.active.size + (isActive ? 0 : 1)
  let usedByBacklogged = 0
  for (const other of classNode.level.active) usedByBacklogged += other.running
  const usedByOthers = Math.max(0, classNode.running - usedByBacklogged - (isActive ? 0 : group.running))
  const fairShare = (classShare - usedByOthers) / backlogged
  return Math.max(MIN_SHARE_SLOTS, fairShare, estimateGuarantee(organisationNode.guaranteedSlots, group))
}

/** Sums the guaranteed slots that other organisations use or will use for their waiting requests. */
function sumGuaranteesInUse (tree: QueueTree, own: OrganisationNode): number {
  let slots = 0
  for (const node of tree.organisations.values()) {
    if (node !== own) slots += Math.min(node.guaranteedSlots, node.running + node.waiting)
  }
  return slots
}

/** Estimates how many of its organisation's guaranteed slots a group gets. */
function estimateGuarantee (guaranteedSlots: number, group: RequestGroup): number {
  let contenders = 1
  for (const other of group.organisationNode.groups.values()) if (other !== group && other.waiting > 0) contenders++
  return guaranteedSlots / contenders
}
