/**
 * Queue of events of a virtual clock, ordered by time; events of the same time keep their order of insertion.
 */
import { Heap } from 'heap-js'

interface ScheduledEvent<T> {
  readonly event: T
  readonly sequence: number
}

export class EventQueue<T extends { readonly at: number }> {
  private readonly _heap = new Heap<ScheduledEvent<T>>((a, b) => a.event.at - b.event.at || a.sequence - b.sequence)
  private _nextSequence = 0

  /** Number of pending events. */
  get size (): number {
    return this._heap.length
  }

  /** Time of the next event; `Infinity` when there is none. */
  get nextAt (): number {
    return this._heap.peek()?.event.at ?? Infinity
  }

  add (event: T): void {
    this._heap.push({ event, sequence: this._nextSequence++ })
  }

  /** Removes and returns the next event. */
  take (): T | undefined {
    return this._heap.pop()?.event
  }
}
