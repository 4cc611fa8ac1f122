/**
 * HTTP client for the store with a fallback: if the store rejects a call or can't be reached from this host, an agent that can reach the
 * store relays the call. This helps when an overloaded store serves only some hosts. An unanswered write is sent again through
 * an agent, which is safe: conditional writes take effect at most once, and repeating the other writes does no harm. A write that no attempt confirmed has the
 * outcome `lost` if any of its attempts may have been carried out.
 */
import { LogLimiter } from '@dragonflylever/runtime'
import type { HttpCall, HttpCaller, HttpOutcome, Logger, TransferLimits } from '@dragonflylever/runtime'

import { isServed } from './directPath.js'
import type { DirectPath } from './directPath.js'
import { RelayTable } from './relayTable.js'
import { RelayedRead } from './relayedRead.js'

/** Path at which agents accept calls to relay. */
export const RELAY_PATH = '/store-relay'
/** After all agents have failed to reach the store lately, they are not asked to relay calls for this time, in milliseconds. */
const RELAY_PAUSE_MS = 400
/** Maximum number of agents that are asked, one after the other, to relay one write or long poll. */
const MAX_RELAYS = 8
/** Time after which no further agent is asked to relay it, in milliseconds: agents that the store turns away say so at once, and one that took longer may have sent the write. */
const MAX_RELAY_SEARCH_MS = 300
/** Maximum number of agents without a recent failure, and of others, that are asked to relay one read. */
const MAX_READ_RELAYS = { fresh: 64, failed: 4 } as const
/** Time without the beginning of an answer after which no agent is taken to be able to relay a read, in milliseconds. */
const MAX_READ_SEARCH_MS = 1_500
/** Timeout of the read that finds an agent for a write, in milliseconds. */
const PROBE_TIMEOUT_MS = 500
/** Added to a call's timeout when an agent relays it, in milliseconds. */
const RELAY_TIMEOUT_MARGIN_MS = 100
/** HTTP status by which an agent reports that the store has not carried out a call, nor will. */
export const RELAY_REJECTED = 503
/** HTTP status by which an agent reports that the store did not answer a call, which it may have carried out. */
export const RELAY_UNDECIDED = 502
/** Maximum number of log lines per second about calls that no agent could relay. */
const MAX_LINES_PER_S = 2
/** Maximum number of agents that such a line names. */
const MAX_LOGGED_RELAYS = 8

/** Dependencies of {@link RelayedCaller}. */
export interface RelayedCallerDependencies {
  readonly direct: DirectPath
  readonly peers: HttpCaller
  /** Lists the addresses of the agents that may relay calls, in the order in which to ask them. */
  readonly listRelays: () => readonly string[]
  readonly logger: Logger
}

/** Body of a request to relay a call. */
export interface RelayRequest {
  readonly method: HttpCall['method']
  readonly path: string
  readonly body?: string
  readonly timeoutMs: number
  readonly isLongPoll?: boolean
  readonly transfer?: TransferLimits
}

/** Result of asking agents to relay a call. `isUndecided` is true if the store may have carried out an attempt. */
type RelayResult =
  | { readonly kind: 'relayed', readonly outcome: HttpOutcome }
  | { readonly kind: 'failed', readonly isUndecided: boolean }

/** An agent that was asked, and its status or the error, for the log. */
interface AskedRelay {
  readonly address: string
  readonly outcome: string
}

const NOT_RELAYED: RelayResult = { kind: 'failed', isUndecided: false }

export class RelayedCaller implements HttpCaller {
  private readonly _dependencies: RelayedCallerDependencies
  private _relaysPausedUntil = -Infinity
  private readonly _table = new RelayTable()
  private readonly _limiter = new LogLimiter(MAX_LINES_PER_S)

  constructor (dependencies: RelayedCallerDependencies) {
    this._dependencies = dependencies
  }

  async call (call: HttpCall): Promise<HttpOutcome> {
    const { direct } = this._dependencies
    const first = direct.isFailing ? await this._callRelays(call) : NOT_RELAYED
    if (first.kind === 'relayed') return first.outcome
    const outcome = await direct.call(call)
    if (isServed(outcome) || call.signal?.aborted === true) return outcome
    // The answer to a long poll is awaited for long, and through an agent that may not reach the store either; its caller finds a working path first.
    if (call.isLongPoll === true) return outcome
    // The store has served a later call, so a read is repeated directly.
    if (call.method === 'GET' && !direct.isFailing) return outcome
    const second = await this._callRelays(call)
    if (second.kind === 'relayed') return second.outcome
    if (first.isUndecided || second.isUndecided) return { kind: 'lost', message: `${call.method} ${call.path}: no answer to the call that an agent relayed` }
    return outcome
  }

  close (): void {
    this._dependencies.direct.close()
    this._dependencies.peers.close()
  }

  private async _callRelays (call: HttpCall): Promise<RelayResult> {
    const relays = this._dependencies.listRelays()
    if (performance.now() < this._relaysPausedUntil || relays.length === 0) return NOT_RELAYED
    const startedAt = performance.now()
    const asked: AskedRelay[] = []
    const isRead = call.method === 'GET' && call.isLongPoll !== true
    const result = await (isRead ? this._readThroughRelays(call, relays, asked, MAX_READ_SEARCH_MS) : this._callRelaysInTurn(call, relays, asked))
    if (result.kind === 'failed') {
      if (this._table.rank(relays).fresh === 0) this._relaysPausedUntil = performance.now() + RELAY_PAUSE_MS
      this._logFailure(call, startedAt, relays.length, asked)
    }
    return result
  }

  /** Asks one agent after the other. A write that an agent leaves unanswered stays undecided, so a read finds an agent that can reach the store first. */
  private async _callRelaysInTurn (call: HttpCall, relays: readonly string[], asked: AskedRelay[]): Promise<RelayResult> {
    let isUndecided = false
    if (call.method !== 'GET' && relays.length > 1 && !this._table.isRelayKnown) await this._findRelay(call.signal, relays, asked)
    const searchedAt = performance.now()
    for (const address of this._table.rank(relays).ranked.slice(0, MAX_RELAYS)) {
      if (performance.now() - searchedAt > MAX_RELAY_SEARCH_MS) break
      const outcome = await this._callRelay(call, address, call.signal)
      if (call.signal?.aborted === true) return { kind: 'relayed', outcome }
      this._recordOutcome(address, outcome, asked)
      if (isRelayed(outcome)) return { kind: 'relayed', outcome }
      isUndecided ||= outcome.kind === 'lost' || (outcome.kind === 'answered' && outcome.status === RELAY_UNDECIDED)
    }
    return { kind: 'failed', isUndecided }
  }

  private async _findRelay (signal: AbortSignal | undefined, relays: readonly string[], asked: AskedRelay[]): Promise<void> {
    const probe: HttpCall = { ...this._dependencies.direct.probe, method: 'GET', timeoutMs: PROBE_TIMEOUT_MS, ...(signal === undefined ? {} : { signal }) }
    await this._readThroughRelays(probe, relays, asked, MAX_RELAY_SEARCH_MS)
  }

  private async _readThroughRelays (call: HttpCall, relays: readonly string[], asked: AskedRelay[], maxSearchMs: number): Promise<RelayResult> {
    const { direct } = this._dependencies
    const wasFailing = direct.isFailing
    const { ranked, fresh } = this._table.rank(relays)
    const freshCount = Math.min(fresh, MAX_READ_RELAYS.fresh)
    const read = new RelayedRead({
      maxSearchMs,
      addresses: [...ranked.slice(0, freshCount), ...ranked.slice(fresh, fresh + MAX_READ_RELAYS.failed)],
      callAgent: (address, signal, onPart) => this._callRelay(call, address, signal, onPart),
      isRelayed,
      onOutcome: (address, outcome) => this._recordOutcome(address, outcome, asked),
      isNeedless: () => wasFailing && !direct.isFailing,
      signal: call.signal
    })
    const outcome = await read.run()
    return outcome === undefined ? NOT_RELAYED : { kind: 'relayed', outcome }
  }

  private _recordOutcome (address: string, outcome: HttpOutcome, asked: AskedRelay[]): void {
    if (isRelayed(outcome)) this._table.recordAnswer(address)
    else this._table.recordFailure(address)
    asked.push({ address, outcome: outcome.kind === 'answered' ? String(outcome.status) : outcome.message })
  }

  private _logFailure (call: HttpCall, startedAt: number, agents: number, asked: readonly AskedRelay[]): void {
    const leftOut = this._limiter.admit('relay')
    if (leftOut === undefined || call.signal?.aborted === true) return
    this._dependencies.logger.warn({ method: call.method, path: call.path, agents, askedCount: asked.length, asked: asked.slice(0, MAX_LOGGED_RELAYS), elapsedMs: Math.round(performance.now() - startedAt), leftOut }, 'no agent could relay a store call')
  }

  private _callRelay (call: HttpCall, address: string, signal: AbortSignal | undefined, onPart = call.onPart): Promise<HttpOutcome> {
    const { method, path, body, timeoutMs, isLongPoll, transfer } = call
    const request: RelayRequest = {
      method,
      path,
      timeoutMs,
      ...(body === undefined ? {} : { body }),
      ...(isLongPoll === undefined ? {} : { isLongPoll }),
      ...(transfer === undefined ? {} : { transfer })
    }
    return this._dependencies.peers.call({
      address,
      method: 'POST',
      path: RELAY_PATH,
      body: JSON.stringify(request),
      timeoutMs: timeoutMs + RELAY_TIMEOUT_MARGIN_MS,
      ...(transfer === undefined ? {} : { transfer }),
      ...(onPart === undefined ? {} : { onPart }),
      ...(signal === undefined ? {} : { signal })
    })
  }
}

/** True if the answer of an agent is the store's answer to the relayed call. */
function isRelayed (outcome: HttpOutcome): boolean {
  return isServed(outcome) && !(outcome.kind === 'answered' && outcome.status === RELAY_UNDECIDED)
}
