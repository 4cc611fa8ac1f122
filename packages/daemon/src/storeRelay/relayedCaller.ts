/**
 * Calls to the store that take a way around: when the store turns this host away or can't be reached from here, an agent that
 * reaches it passes the call on. Answers the load in which the store serves some hosts only. A write that got no answer goes out
 * again on the other way; all writes are conditional, so that at most one takes effect.
 */
import type { HttpCall, HttpCaller, HttpOutcome, Logger } from '@dragonflylever/runtime'

/** Path at which agents take calls to pass on. */
export const RELAY_PATH = '/store-relay'
/** While the direct way fails it is tried again after this long, in milliseconds. */
const PROBE_MS = 500
/** When no agent reaches the store either, none is asked for this long, in milliseconds. */
const RELAY_PAUSE_MS = 400
/** Agents asked for one call. */
const MAX_RELAYS = 2
/** Added to a call's limit for the way over the agent. */
const RELAY_MARGIN_MS = 100
/** Statuses by which the store says that it does nothing for this host now. */
const TURNED_AWAY = new Set([429, 503])
/** Status by which an agent says that it can't reach the store either. */
export const RELAY_FAILED = 502

/** What a caller works with. */
export interface RelayedCallerParts {
  readonly direct: HttpCaller
  readonly peers: HttpCaller
  readonly logger: Logger
  /** Agents that may pass calls on, the nearest first. */
  readonly listRelays: () => readonly string[]
}

/** A call as it goes to an agent. */
export interface RelayRequest {
  readonly method: HttpCall['method']
  readonly path: string
  readonly body?: string
  readonly timeoutMs: number
}

export class RelayedCaller implements HttpCaller {
  private readonly _parts: RelayedCallerParts
  private _isDirectAway = false
  private _probedAt = -Infinity
  private _relaysAwayUntil = -Infinity
  private _relayIndex = 0

  constructor (parts: RelayedCallerParts) {
    this._parts = parts
  }

  async call (call: HttpCall): Promise<HttpOutcome> {
    const isProbe = !this._isDirectAway || performance.now() - this._probedAt > PROBE_MS
    if (!isProbe) {
      const relayed = await this._callRelays(call)
      if (relayed !== undefined) return relayed
    }
    this._probedAt = performance.now()
    const outcome = await this._parts.direct.call(call)
    const isServed = outcome.kind === 'answered' && !TURNED_AWAY.has(outcome.status)
    if (call.signal?.aborted === true) return outcome
    this._noteDirect(isServed, outcome)
    if (isServed) return outcome
    const relayed = await this._callRelays(call)
    if (relayed !== undefined) return relayed
    return outcome
  }

  close (): void {
    this._parts.direct.close()
    this._parts.peers.close()
  }

  /** Returns the store's answer, or undefined when no agent got one. */
  private async _callRelays (call: HttpCall): Promise<HttpOutcome | undefined> {
    const relays = this._parts.listRelays()
    if (performance.now() < this._relaysAwayUntil) return undefined
    const request: RelayRequest = { method: call.method, path: call.path, timeoutMs: call.timeoutMs, ...(call.body === undefined ? {} : { body: call.body }) }
    const startedAt = performance.now()
    for (let count = 0; count < Math.min(MAX_RELAYS, relays.length); count++) {
      // A second agent is asked only when the first said soon that it can't help.
      if (performance.now() - startedAt > RELAY_MARGIN_MS) break
      const address = relays[this._relayIndex % relays.length]
      if (address === undefined) return undefined
      const outcome = await this._parts.peers.call({
        address,
        method: 'POST',
        path: RELAY_PATH,
        body: JSON.stringify(request),
        timeoutMs: call.timeoutMs + RELAY_MARGIN_MS,
        ...(call.signal === undefined ? {} : { signal: call.signal })
      })
      if (outcome.kind === 'answered' && outcome.status !== RELAY_FAILED && !TURNED_AWAY.has(outcome.status)) return outcome
      if (call.signal?.aborted === true) return outcome
      this._relayIndex++
    }
    this._relaysAwayUntil = performance.now() + RELAY_PAUSE_MS
    return undefined
  }

  private _noteDirect (isServed: boolean, outcome: HttpOutcome): void {
    if (this._isDirectAway === !isServed) return
    this._isDirectAway = !isServed
    const { logger } = this._parts
    if (isServed) logger.info({}, 'store reached directly again')
    else logger.warn({ outcome: outcome.kind === 'answered' ? outcome.status : outcome.message, relays: this._parts.listRelays().length }, 'store not reached directly, trying over agents')
  }
}
