/**
 * HTTP client for the store with a fallback: if the store rejects a call or can't be reached from this host, an agent that can reach the
 * store relays the call. This helps when an overloaded store serves only some hosts. An unanswered write is sent again through
 * an agent, which is safe: conditional writes take effect at most once, and repeating the other writes does no harm.
 */
import type { HttpCall, HttpCaller, HttpOutcome, Logger } from '@dragonflylever/runtime'

/** Path at which agents accept calls to relay. */
export const RELAY_PATH = '/store-relay'
/** Minimum time between two direct calls to the store while direct calls fail, in milliseconds; other calls go to agents first. */
const PROBE_INTERVAL_MS = 500
/** After no agent could reach the store, agents are not asked to relay calls for this time, in milliseconds. */
const RELAY_PAUSE_MS = 400
/** Maximum number of agents that are asked to relay one call. */
const MAX_RELAYS = 2
/** Added to a call's timeout when an agent relays it, in milliseconds. */
const RELAY_TIMEOUT_MARGIN_MS = 100
/** Statuses with which the store rejects a call without carrying it out. */
const REJECTION_STATUSES = new Set([429, 503])
/** HTTP status by which an agent reports that it can't reach the store either. */
export const RELAY_FAILED = 502

/** Dependencies of {@link RelayedCaller}. */
export interface RelayedCallerDependencies {
  readonly direct: HttpCaller
  readonly peers: HttpCaller
  readonly logger: Logger
  /** Lists the addresses of the agents that may relay calls, those of the same region first. */
  readonly listRelays: () => readonly string[]
}

/** Body of a request to relay a call. */
export interface RelayRequest {
  readonly method: HttpCall['method']
  readonly path: string
  readonly body?: string
  readonly timeoutMs: number
}

export class RelayedCaller implements HttpCaller {
  private readonly _dependencies: RelayedCallerDependencies
  private _isDirectFailing = false
  private _probedAt = -Infinity
  private _relaysPausedUntil = -Infinity
  private _relayIndex = 0

  constructor (dependencies: RelayedCallerDependencies) {
    this._dependencies = dependencies
  }

  async call (call: HttpCall): Promise<HttpOutcome> {
    const isProbe = !this._isDirectFailing || performance.now() - this._probedAt > PROBE_INTERVAL_MS
    if (!isProbe) {
      const relayed = await this._callRelays(call)
      if (relayed !== undefined) return relayed
    }
    this._probedAt = performance.now()
    const outcome = await this._dependencies.direct.call(call)
    const isServed = outcome.kind === 'answered' && !REJECTION_STATUSES.has(outcome.status)
    if (call.signal?.aborted === true) return outcome
    this._recordDirectOutcome(isServed, outcome)
    if (isServed) return outcome
    const relayed = await this._callRelays(call)
    if (relayed !== undefined) return relayed
    return outcome
  }

  close (): void {
    this._dependencies.direct.close()
    this._dependencies.peers.close()
  }

  /** Sends a call through agents; resolves with the store's answer, or with undefined if no agent obtained one. */
  private async _callRelays (call: HttpCall): Promise<HttpOutcome | undefined> {
    const relays = this._dependencies.listRelays()
    if (performance.now() < this._relaysPausedUntil) return undefined
    const request: RelayRequest = { method: call.method, path: call.path, timeoutMs: call.timeoutMs, ...(call.body === undefined ? {} : { body: call.body }) }
    const startedAt = performance.now()
    for (let count = 0; count < Math.min(MAX_RELAYS, relays.length); count++) {
      // A second agent is asked only if the first one failed quickly.
      if (performance.now() - startedAt > RELAY_TIMEOUT_MARGIN_MS) break
      const address = relays[this._relayIndex % relays.length]
      if (address === undefined) return undefined
      const outcome = await this._dependencies.peers.call({
        address,
        method: 'POST',
        path: RELAY_PATH,
        body: JSON.stringify(request),
        timeoutMs: call.timeoutMs + RELAY_TIMEOUT_MARGIN_MS,
        ...(call.signal === undefined ? {} : { signal: call.signal })
      })
      if (outcome.kind === 'answered' && outcome.status !== RELAY_FAILED && !REJECTION_STATUSES.has(outcome.status)) return outcome
      if (call.signal?.aborted === true) return outcome
      this._relayIndex++
    }
    this._relaysPausedUntil = performance.now() + RELAY_PAUSE_MS
    return undefined
  }

  private _recordDirectOutcome (isServed: boolean, outcome: HttpOutcome): void {
    if (this._isDirectFailing === !isServed) return
    this._isDirectFailing = !isServed
    const { logger } = this._dependencies
    if (isServed) logger.info({}, 'store is directly reachable again')
    else logger.warn({ outcome: outcome.kind === 'answered' ? outcome.status : outcome.message, relays: this._dependencies.listRelays().length }, 'cannot reach the store directly; relaying calls through agents')
  }
}
