/**
 * Builds the report on the state of a request queue for operators.
 */
import { estimateMeanRunTime, predictFinish } from './finishPrediction.js'
import type { RequestGroup } from './queueNodes.js'
import type { GroupReport, QueueReport, ShedReport } from './queueReport.js'
import type { QueueTree } from './queueTree.js'
import type { QueueCapacity } from './requestPolicy.js'
import { estimateGroupShare } from './shareEstimate.js'
import { computeReservedSlots } from './slotReserve.js'
import type { SlotReserveOptions } from './slotReserve.js'

/** Builds the report on all classes and organisations of a queue. */
export function describeTree (tree: QueueTree, capacity: QueueCapacity, usableSlots: number, reserve: SlotReserveOptions, recentlyShed: readonly ShedReport[]): QueueReport {
  const heldBack: Record<string, number> = {}
  for (const node of tree.classes.values()) {
    if (node.targets.startWithinMs !== undefined) heldBack[node.name] = computeReservedSlots(tree, node, capacity, reserve)
  }
  const groups = [...tree.organisations.values()]
    .flatMap(organisation => [...organisation.groups.values()])
    .map(group => describeGroup(tree, group, usableSlots))
  return { slots: capacity.slots, running: tree.running, waiting: tree.waiting, heldBack, groups, recentlyShed }
}

function describeGroup (tree: QueueTree, group: RequestGroup, slots: number): GroupReport {
  return {
    className: group.classNode.name,
    organisation: group.organisationNode.name,
    waiting: group.waiting,
    running: group.running,
    waitingCallers: group.level.active.size,
    shareSlots: estimateGroupShare(tree, group, slots),
    guaranteedSlots: group.organisationNode.guaranteedSlots,
    expectedWaitMs: predictFinish(tree, group, undefined, slots).waitMs,
    meanRunMs: estimateMeanRunTime(group),
    shed: group.shed
  }
}
