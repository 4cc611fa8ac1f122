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

/** Path at which agents accept calls to relay. */
export const RELAY_PATH = '/store-relay'
/** After no agent could reach the store, agents are not asked to relay calls for this time, in milliseconds. */
const RELAY_PAUSE_MS = 400
/** Maximum number of agents that are asked to relay one write or long poll. */
const MAX_RELAYS = 2
/** Maximum number of agents that are asked to relay one read, which is harmless to repeat. */
const MAX_READ_RELAYS = 6
/** Time without an answer after which the next agent is asked to relay a read as well, in milliseconds; an answer takes up to 130 ms between regions. */
const READ_RELAY_INTERVAL_MS = 150
/** Added to a call's timeout when an agent relays it, in milliseconds. */
const RELAY_TIMEOUT_MARGIN_MS = 100
/** HTTP status by which an agent reports that the store has not carried out a call, nor will. */
export const RELAY_REJECTED = 503
/** HTTP status by which an agent reports that the store did not answer a call, which it may have carried out. */
export const RELAY_UNDECIDED = 502
/** Maximum number of log lines per second about calls that no agent could relay. */
const MAX_LINES_PER_S = 2

/** Dependencies of {@link RelayedCaller}. */
export interface RelayedCallerDependencies {
  readonly direct: DirectPath
  readonly peers: HttpCaller
  /** Lists the addresses of the agents that may relay calls, those of the same region first. */
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
  private _relayIndex = 0
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
    const isRead = call.method === 'GET' && call.isLongPoll !== true
    const startedAt = performance.now()
    const asked: AskedRelay[] = []
    const result = await (isRead ? this._readThroughRelays(call, relays, asked) : this._callRelaysInTurn(call, relays, asked))
    if (result.kind === 'failed') {
      this._relaysPausedUntil = performance.now() + RELAY_PAUSE_MS
      this._logFailure(call, startedAt, relays.length, asked)
    }
    return result
  }

  /** Asks one agent after the other. */
  private async _callRelaysInTurn (call: HttpCall, relays: readonly string[], asked: AskedRelay[]): Promise<RelayResult> {
    const startedAt = performance.now()
    let isUndecided = false
    for (let count = 0; count < Math.min(MAX_RELAYS, relays.length); count++) {
      // A second agent is asked only if the first one failed quickly.
      if (performance.now() - startedAt > RELAY_TIMEOUT_MARGIN_MS) break
      const index = this._relayIndex % relays.length
      const outcome = await this._callRelay(call, relays[index] ?? '', call.signal)
      asked.push(describeAskedRelay(relays[index] ?? '', outcome))
      if (isRelayed(outcome) || call.signal?.aborted === true) return { kind: 'relayed', outcome }
      isUndecided ||= outcome.kind === 'lost' || (outcome.kind === 'answered' && outcome.status === RELAY_UNDECIDED)
      this._relayIndex = index + 1
    }
    return { kind: 'failed', isUndecided }
  }

  /** Asks the next agent as soon as one fails, or has not answered for a short time, and returns the first answer. */
  private async _readThroughRelays (call: HttpCall, relays: readonly string[], answers: AskedRelay[]): Promise<RelayResult> {
    const abort = new AbortController()
    const firstIndex = this._relayIndex
    const count = Math.min(MAX_READ_RELAYS, relays.length)
    const result = await new Promise<RelayResult>(resolve => {
      let asked = 0
      let failed = 0
      let timer: NodeJS.Timeout | undefined
      const callNext = (): void => {
        clearTimeout(timer)
        if (abort.signal.aborted || asked >= count) return
        const index = (firstIndex + asked++) % relays.length
        timer = setTimeout(callNext, READ_RELAY_INTERVAL_MS)
        void this._callRelay(call, relays[index] ?? '', abort.signal).then(outcome => {
          if (abort.signal.aborted) return
          answers.push(describeAskedRelay(relays[index] ?? '', outcome))
          if (!isRelayed(outcome)) return ++failed === count ? resolve(NOT_RELAYED) : callNext()
          this._relayIndex = index
          resolve({ kind: 'relayed', outcome })
        })
      }
      callNext()
    })
    abort.abort()
    return result
  }

  private _logFailure (call: HttpCall, startedAt: number, agents: number, asked: readonly AskedRelay[]): void {
    const leftOut = this._limiter.admit('relay')
    if (leftOut === undefined || call.signal?.aborted === true) return
    this._dependencies.logger.warn({ method: call.method, path: call.path, agents, asked, elapsedMs: Math.round(performance.now() - startedAt), leftOut }, 'no agent could relay a store call')
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

function describeAskedRelay (address: string, outcome: HttpOutcome): AskedRelay {
  return { address, outcome: outcome.kind === 'answered' ? String(outcome.status) : outcome.message }
}

/** True if the answer of an agent is the store's answer to the relayed call. */
function isRelayed (outcome: HttpOutcome): boolean {
  return isServed(outcome) && !(outcome.kind === 'answered' && outcome.status === RELAY_UNDECIDED)
}
