/**
 * Virtual clock: runs scheduled events in order of their time; no real time passes between them.
 */
import { IndexedHeap } from '@dragonflylever/core/fairness/indexedHeap'

interface TimedEvent {
  readonly at: number
  readonly run: () => void
}

export class VirtualClock {
  private readonly _events = new IndexedHeap<TimedEvent>(event => event.at)
  private _now = 0

  /** Current virtual time in milliseconds. */
  get now (): number {
    return this._now
  }

  /** Schedules `run` to be called after `delayMs`. */
  schedule (delayMs: number, run: () => void): void {
    this._events.add({ at: this._now + delayMs, run })
  }

  /** Runs all events up to and including a time, and sets the clock to that time. */
  advance (until: number): void {
    for (;;) {
      const event = this._events.first
      if (event === undefined || event.at > until) break
      this._events.remove(event)
      this._now = event.at
      event.run()
    }
    this._now = until
  }
}
