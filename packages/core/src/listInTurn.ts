/**
 * Lists items that take turns.
 */

/** Lists the items from index `first` on, followed by those before it; at most `max` of them. */
export function listInTurn<T> (items: readonly T[], first: number, max = items.length): T[] {
  return [...items.slice(first, first + max), ...items.slice(0, Math.max(0, Math.min(first, first + max - items.length)))]
}
