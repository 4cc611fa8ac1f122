/**
 * Run ends that a worker has listed.
 */
import type { EndListing } from '@dragonflylever/core/graphs/index'

/**
 * Merges the known and the newly listed run ends by number. Keeps all ends with a number above `seen`, the number of the last end that the
 * planner acknowledged, even if the new list is older and lacks some known ends.
 */
export function mergeRunEnds (known: readonly EndListing[], listed: readonly EndListing[], seen: number): EndListing[] {
  const ends = new Map<number, EndListing>()
  for (const end of [...known, ...listed]) if (end.number > seen) ends.set(end.number, end)
  return [...ends.values()].sort((a, b) => a.number - b.number)
}
