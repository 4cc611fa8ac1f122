/**
 * Shares the processor among the clients that send: what was received is parsed in slices, in turn for each client, and for limited work in each turn of the event loop. Without it, one read of 64 KiB may hold
 * thousands of small requests, which are parsed at once and take some kilobytes each.
 */

/** Work that is done in one turn of the event loop, in units of a part of a body; other events are handled in between. A unit takes some 3 microseconds. */
const TURN_WORK = 1_000

/** A source of received bytes. */
export interface SlicedReader {
  /** True while there is a slice that may be passed on. */
  readonly canRead: boolean
  /** Passes one slice on; returns the work that this took, in units of a part of a body. */
  readonly readSlice: () => number
}

export class ReadScheduler {
  private readonly _waiting = new Set<SlicedReader>()
  private _work = 0
  private _immediate: NodeJS.Immediate | undefined

  /** Reads from a reader at once if this turn allows it, otherwise in its turn. */
  read (reader: SlicedReader): void {
    if (this._waiting.size > 0 || this._work >= TURN_WORK) return this.schedule(reader)
    this._waiting.add(reader)
    this._readSlices()
  }

  /** Reads from a reader in a later turn of the event loop. */
  schedule (reader: SlicedReader): void {
    this._waiting.add(reader)
    this._immediate ??= setImmediate(() => this._startTurn())
  }

  /** Forgets a reader. */
  remove (reader: SlicedReader): void {
    this._waiting.delete(reader)
  }

  private _startTurn (): void {
    this._immediate = undefined
    this._work = 0
    if (this._waiting.size > 0) this._readSlices()
  }

  private _readSlices (): void {
    // A reader that is added again during the loop comes after those that wait.
    for (const reader of this._waiting) {
      this._waiting.delete(reader)
      if (reader.canRead) this._work += reader.readSlice()
      if (reader.canRead) this._waiting.add(reader)
      if (this._work >= TURN_WORK) break
    }
    this._immediate ??= setImmediate(() => this._startTurn())
  }
}
