/**
 * Binary min-heap that can remove any item in O(log n). The key of an item must not change while the item is in the heap.
 */

export class IndexedHeap<T> {
  private readonly _items: T[] = []
  private readonly _positions = new Map<T, number>()
  private readonly _getKey: (item: T) => number

  /** `getKey` returns the key that the items are ordered by, smallest first. */
  constructor (getKey: (item: T) => number) {
    this._getKey = getKey
  }

  /** Number of items. */
  get size (): number {
    return this._items.length
  }

  /** Item with the smallest key. */
  get first (): T | undefined {
    return this._items[0]
  }

  /** The last leaf of the heap: an item with a large, though not always the largest, key, found in O(1). */
  get last (): T | undefined {
    return this._items[this._items.length - 1]
  }

  /** Adds an item that is not in the heap. */
  add (item: T): void {
    this._items.push(item)
    this._positions.set(item, this._items.length - 1)
    this._moveUp(this._items.length - 1)
  }

  /** Removes an item. Returns true when the item was in the heap. */
  remove (item: T): boolean {
    const position = this._positions.get(item)
    if (position === undefined) return false
    this._positions.delete(item)
    const tail = this._items.pop() as T
    if (tail === item) return true
    this._place(tail, position)
    this._moveUp(position)
    this._moveDown(this._positions.get(tail) ?? position)
    return true
  }

  private _place (item: T, position: number): void {
    this._items[position] = item
    this._positions.set(item, position)
  }

  private _moveUp (start: number): void {
    const item = this._items[start] as T
    const key = this._getKey(item)
    let position = start
    while (position > 0) {
      const parentPosition = (position - 1) >> 1
      const parent = this._items[parentPosition] as T
      if (this._getKey(parent) <= key) break
      this._place(parent, position)
      position = parentPosition
    }
    if (position !== start) this._place(item, position)
  }

  private _moveDown (start: number): void {
    const item = this._items[start] as T
    const key = this._getKey(item)
    let position = start
    for (;;) {
      const childPosition = this._findSmallerChild(position)
      if (childPosition === undefined) break
      const child = this._items[childPosition] as T
      if (this._getKey(child) >= key) break
      this._place(child, position)
      position = childPosition
    }
    if (position !== start) this._place(item, position)
  }

  private _findSmallerChild (position: number): number | undefined {
    const left = 2 * position + 1
    if (left >= this._items.length) return undefined
    const right = left + 1
    if (right >= this._items.length) return left
    return this._getKey(this._items[left] as T) <= this._getKey(this._items[right] as T) ? left : right
  }
}
