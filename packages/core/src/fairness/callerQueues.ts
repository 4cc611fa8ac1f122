/**
 * Queues of the callers within a request group. A new caller gets a dedicated queue until the group has the maximum number of queues;
 * from then on, new callers share a fixed number of queues by the hash of their name, so that memory stays bounded.
 */
import { IndexedHeap } from './indexedHeap.js'
import type { CallerQueue, QueueItem, RequestGroup } from './queueNodes.js'

/** Number of queues of a group from which on new callers share queues. */
export const MAX_DEDICATED_QUEUES = 256
/** Number of queues that the callers without a dedicated queue share. */
export const SHARED_QUEUES = 64
const FNV_PRIME = 0x01000193
const FNV_OFFSET_BASIS = 0x811c9dc5

/** Returns the dedicated or shared queue that the requests of a caller go to; undefined when it doesn't exist yet. */
export function getCallerQueue (group: RequestGroup, caller: string): CallerQueue | undefined {
  const own = group.callers.get(`own ${caller}`)
  if (own !== undefined || group.callers.size < MAX_DEDICATED_QUEUES) return own
  evictIdleQueues(group)
  return group.callers.size < MAX_DEDICATED_QUEUES ? undefined : group.callers.get(computeSharedQueueKey(caller))
}

/** Returns the queue that the requests of a caller go to, and creates it when it doesn't exist. */
export function findCallerQueue (group: RequestGroup, caller: string): CallerQueue {
  const known = getCallerQueue(group, caller)
  if (known !== undefined) return known
  const isFull = group.callers.size >= MAX_DEDICATED_QUEUES
  const key = isFull ? computeSharedQueueKey(caller) : `own ${caller}`
  const items = new IndexedHeap<QueueItem>(item => item.dueAt)
  const created: CallerQueue = { key, group, items, running: 0, virtualMs: 0 }
  group.callers.set(key, created)
  return created
}

/** Removes idle queues: those without waiting or running requests whose charged slot time no longer affects the order. */
function evictIdleQueues (group: RequestGroup): void {
  for (const queue of group.callers.values()) {
    if (queue.items.size === 0 && queue.running === 0 && group.level.isCaughtUp(queue)) group.callers.delete(queue.key)
  }
}

function computeSharedQueueKey (caller: string): string {
  return `shared ${computeHash(caller) % SHARED_QUEUES}`
}

/** Computes the FNV-1a hash of a caller's name. */
function computeHash (caller: string): number {
  let hash = FNV_OFFSET_BASIS
  for (let index = 0; index < caller.length; index++) {
    hash = Math.imul(hash ^ caller.charCodeAt(index), FNV_PRIME) >>> 0
  }
  return hash
}
