/**
 * Queue of an agent's calls to one worker. A limited number of calls is made at a time, so that thousands of orders neither hold a request and a timer
 * each, nor use up their timeouts while they wait for a connection.
 */

/** A call that is due; resolves with the delay in milliseconds after which it is due again, or with undefined once it is settled. */
export type QueuedCall = () => Promise<number | undefined>

export class CallQueue {
  private readonly _maxCalls: number
  private readonly _waiting: QueuedCall[] = []
  private _active = 0
  private readonly _timers = new Set<NodeJS.Timeout>()
  private _isClosed = false

  /** `maxCalls` is the number of calls that are made at the same time. */
  constructor (maxCalls: number) {
    this._maxCalls = maxCalls
  }

  add (call: QueuedCall): void {
    if (this._isClosed) return
    this._waiting.push(call)
    this._makeCalls()
  }

  /** Drops the calls that wait. */
  close (): void {
    this._isClosed = true
    for (const timer of this._timers) clearTimeout(timer)
    this._timers.clear()
    this._waiting.length = 0
  }

  private _makeCalls (): void {
    while (this._active < this._maxCalls) {
      const call = this._waiting.shift()
      if (call === undefined) return
      void this._makeCall(call)
    }
  }

  private async _makeCall (call: QueuedCall): Promise<void> {
    this._active++
    const delayMs = await call()
    this._active--
    if (delayMs !== undefined && !this._isClosed) this._addLater(call, delayMs)
    this._makeCalls()
  }

  private _addLater (call: QueuedCall, delayMs: number): void {
    const timer = setTimeout(() => {
      this._timers.delete(timer)
      this.add(call)
    }, delayMs)
    this._timers.add(timer)
  }
}
