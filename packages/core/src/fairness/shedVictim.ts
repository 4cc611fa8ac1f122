/**
 * Selects the request to shed when the queue is full: one of the class, organisation and caller with the most waiting requests.
 */
import type { CallerQueue, ClassNode, QueueItem, RequestGroup } from './queueNodes.js'
import type { QueueTree } from './queueTree.js'

/** Selects the request to shed. On a tie, the caller queue of the request just added counts as the longest, and that request is shed. */
export function selectShedVictim (tree: QueueTree, added: QueueItem): QueueItem {
  const own = added.callerQueue
  const classNode = findMemberWithHighestCount<ClassNode>(tree.classes.values(), countWaitingOfNode, own.group.classNode)
  const group = findMemberWithHighestCount<RequestGroup>(classNode.level.active, countWaitingOfNode, classNode === own.group.classNode ? own.group : undefined)
  const callerQueue = findMemberWithHighestCount<CallerQueue>(group.level.active, countWaitingOfCaller, group === own.group ? own : undefined)
  if (callerQueue === own) return added
  const victim = callerQueue.items.last
  if (victim === undefined) throw new Error('invariant: the caller queue with the most waiting requests is empty')
  return victim
}

/** Returns the member with the highest count; `preferred` wins a tie. */
function findMemberWithHighestCount<T> (members: Iterable<T>, count: (member: T) => number, preferred: T | undefined): T {
  let best = preferred
  for (const member of members) {
    if (best === undefined || count(member) > count(best)) best = member
  }
  if (best === undefined) throw new Error('invariant: a level of a full queue has no members')
  return best
}

function countWaitingOfNode (node: { readonly waiting: number }): number {
  return node.waiting
}

function countWaitingOfCaller (queue: CallerQueue): number {
  return queue.items.size
}
