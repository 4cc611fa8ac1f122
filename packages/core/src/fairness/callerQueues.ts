/**
 * Places of callers within a group. A caller has a place of its own as long as there is room for it;
 * beyond that callers share a fixed number of places by hash, so that memory stays bounded.
 */
import { IndexedHeap } from './indexedHeap.js'
import type { CallerQueue, QueueItem, RequestGroup } from './queueNodes.js'

/** Callers of a group with a place of their own. */
export const MAX_OWN_PLACES = 256
/** Places that the other callers share. */
export const SHARED_PLACES = 64
const HASH_PRIME = 0x01000193
const HASH_START = 0x811c9dc5

/** Returns the place of a caller, if there is one. */
export function getCallerQueue (group: RequestGroup, caller: string): CallerQueue | undefined {
  const own = group.callers.get(`own ${caller}`)
  if (own !== undefined || group.callers.size < MAX_OWN_PLACES) return own
  evictSettled(group)
  return group.callers.size < MAX_OWN_PLACES ? undefined : group.callers.get(computeSharedKey(caller))
}

/** Finds or creates the place of a caller. */
export function findCallerQueue (group: RequestGroup, caller: string): CallerQueue {
  const known = getCallerQueue(group, caller)
  if (known !== undefined) return known
  const isFull = group.callers.size >= MAX_OWN_PLACES
  const key = isFull ? computeSharedKey(caller) : `own ${caller}`
  const items = new IndexedHeap<QueueItem>(item => item.dueAt)
  const created: CallerQueue = { key, group, items, running: 0, virtualMs: 0 }
  group.callers.set(key, created)
  return created
}

/** Frees places that nobody uses: no request there and no slot time that still counts. */
function evictSettled (group: RequestGroup): void {
  for (const queue of group.callers.values()) {
    if (queue.items.size === 0 && queue.running === 0 && group.level.isSettled(queue)) group.callers.delete(queue.key)
  }
}

function computeSharedKey (caller: string): string {
  return `shared ${computeHash(caller) % SHARED_PLACES}`
}

/** FNV-1a hash of a caller's name. */
function computeHash (caller: string): number {
  let hash = HASH_START
  for (let index = 0; index < caller.length; index++) {
    hash = Math.imul(hash ^ caller.charCodeAt(index), HASH_PRIME) >>> 0
  }
  return hash
}
