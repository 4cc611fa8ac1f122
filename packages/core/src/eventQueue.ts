/**
 * Events of a virtual clock in the order of their times; equal times keep the order of insertion.
 */
import { Heap } from 'heap-js'

interface Item<T> {
  readonly event: T
  readonly order: number
}

export class EventQueue<T extends { readonly at: number }> {
  private readonly _heap = new Heap<Item<T>>((a, b) => a.event.at - b.event.at || a.order - b.order)
  private _order = 0

  /** Number of events to come. */
  get size (): number {
    return this._heap.length
  }

  /** Time of the next event; infinite when there is none. */
  get nextAt (): number {
    return this._heap.peek()?.event.at ?? Infinity
  }

  add (event: T): void {
    this._heap.push({ event, order: this._order++ })
  }

  /** Removes and returns the next event. */
  take (): T | undefined {
    return this._heap.pop()?.event
  }
}
