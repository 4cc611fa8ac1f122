/**
 * The most recently shed requests of a queue, in a ring buffer of fixed size.
 */
import type { ShedReport } from './queueReport.js'

const MAX_ENTRIES = 64
const MAX_NAME_LENGTH = 128

export class ShedLog {
  private readonly _entries: ShedReport[] = []
  private _next = 0

  /** Records a shed request. */
  record (report: ShedReport): void {
    this._entries[this._next] = { ...report, caller: report.caller.slice(0, MAX_NAME_LENGTH) }
    this._next = (this._next + 1) % MAX_ENTRIES
  }

  /** Lists the recorded requests, the oldest first. */
  list (): ShedReport[] {
    return [...this._entries.slice(this._next), ...this._entries.slice(0, this._next)]
  }
}
