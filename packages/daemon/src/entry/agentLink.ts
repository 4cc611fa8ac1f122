/**
 * Sends attempts to agents over HTTP and checks that each answer belongs to its attempt.
 */
import { NotRunReason, UnknownReason } from '@dragonflylever/core'
import type { Answer } from '@dragonflylever/core'
import { describeCallFailure, listHeaders } from '@dragonflylever/adapters'
import { CallerLimit, DISPATCH_PATH, DispatchHeader } from '@dragonflylever/protocol'
import { Pool } from 'undici'
import type { Dispatcher as UndiciDispatcher } from 'undici'

import type { CallerRequest } from './callerRequest.js'

/** Agent to which an attempt is sent: its id, control address and incarnation. */
export interface AgentTarget {
  readonly agentId: string
  readonly address: string
  readonly incarnation: string
}

/** Load of an agent as the agent reports it: the numbers of running and of waiting attempts, from all entries. */
export interface ReportedLoad {
  readonly running: number
  readonly waiting: number
}

/**
 * How one attempt ended. `notRun`: the agent confirms that the attempt did not run and never will. `notSent`: the same holds without
 * the agent's confirmation, because no dispatch was sent. `lost`: no valid answer arrived, so the attempt may or may not run. `unknown`: the
 * agent reports that the endpoint was reached and returned no complete answer.
 */
export type AttemptResult =
  | { readonly kind: 'answered', readonly answer: Answer, readonly load: ReportedLoad }
  | { readonly kind: 'notRun', readonly reason: NotRunReason, readonly retryAfterMs: number, readonly load: ReportedLoad }
  | { readonly kind: 'unknown', readonly reason: UnknownReason, readonly load: ReportedLoad }
  | { readonly kind: 'notSent', readonly message: string }
  | { readonly kind: 'lost', readonly message: string }

/** Sends attempts to agents. The promises never reject; failures are results. */
export interface AttemptSender {
  send (target: AgentTarget, request: CallerRequest, attemptId: string, signal: AbortSignal): Promise<AttemptResult>
  /** Sets the maximum number of this entry's connections to each agent. */
  setConnectionLimit (limit: number): void
  close (): Promise<void>
}

const CONNECT_TIMEOUT_MS = 1_000
const NO_LOAD: ReportedLoad = { running: 0, waiting: 0 }

/** Options of {@link AgentLink}; `connectionLimit` is the maximum number of connections to each agent. */
export interface AgentLinkOptions {
  readonly entryId: string
  readonly clusterKey: string
  readonly connectionLimit: number
}

export class AgentLink implements AttemptSender {
  private readonly _options: AgentLinkOptions
  private readonly _pools = new Map<string, Pool>()
  private _connectionLimit: number

  constructor (options: AgentLinkOptions) {
    this._options = options
    this._connectionLimit = options.connectionLimit
  }

  async send (target: AgentTarget, request: CallerRequest, attemptId: string, signal: AbortSignal): Promise<AttemptResult> {
    try {
      const response = await this._getPool(target.address).request({
        method: 'POST',
        path: DISPATCH_PATH,
        headers: this._makeHeaders(target, request, attemptId),
        body: request.body,
        signal
      })
      const body = Buffer.from(await response.body.arrayBuffer())
      return parseResult(response, body, attemptId)
    } catch (error) {
      return describeError(error)
    }
  }

  setConnectionLimit (limit: number): void {
    if (limit === this._connectionLimit) return
    this._connectionLimit = limit
    for (const pool of this._pools.values()) void pool.close()
    this._pools.clear()
  }

  /** Closes the connections to agents at all addresses but the given ones; requests in progress finish first. */
  closeConnectionsExcept (addresses: ReadonlySet<string>): void {
    for (const [address, pool] of this._pools) {
      if (addresses.has(address)) continue
      this._pools.delete(address)
      void pool.close()
    }
  }

  async close (): Promise<void> {
    await Promise.all([...this._pools.values()].map(pool => pool.destroy()))
  }

  private _getPool (address: string): Pool {
    const known = this._pools.get(address)
    if (known !== undefined) return known
    const pool = new Pool(`http://${address}`, {
      connections: this._connectionLimit,
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      maxResponseSize: CallerLimit.answerBodyBytes,
      connect: { timeout: CONNECT_TIMEOUT_MS }
    })
    this._pools.set(address, pool)
    return pool
  }

  private _makeHeaders (target: AgentTarget, request: CallerRequest, attemptId: string): string[] {
    const headers = [
      DispatchHeader.clusterKey, this._options.clusterKey,
      DispatchHeader.entryId, this._options.entryId,
      DispatchHeader.requestId, request.requestId,
      DispatchHeader.attemptId, attemptId,
      DispatchHeader.incarnation, target.incarnation,
      DispatchHeader.className, request.className,
      DispatchHeader.organisation, request.organisation,
      DispatchHeader.caller, request.caller,
      DispatchHeader.remainingMs, String(Math.max(0, Math.floor(request.deadlineAt - performance.now()))),
      DispatchHeader.method, request.method,
      DispatchHeader.path, request.path
    ]
    if (request.traceparent !== undefined) headers.push(DispatchHeader.traceparent, request.traceparent)
    for (const [name, value] of request.headers) headers.push(name, value)
    return headers
  }
}

function parseResult (response: UndiciDispatcher.ResponseData, body: Buffer, attemptId: string): AttemptResult {
  const { headers } = response
  if (headers[DispatchHeader.attemptId] !== attemptId) return { kind: 'lost', message: 'the answer belongs to another attempt' }
  if (headers['content-length'] !== String(body.length)) return { kind: 'lost', message: 'the answer is not framed by its length' }
  const load = parseLoad(headers[DispatchHeader.load])
  const kind = headers[DispatchHeader.result]
  if (kind === 'answered') {
    const status = Number(headers[DispatchHeader.status])
    const endpointHeaders = listHeaders(headers).filter(([name]) => !name.startsWith('dfl-') && name !== 'connection' && name !== 'keep-alive' && name !== 'content-length')
    return { kind: 'answered', answer: { status, headers: endpointHeaders, body }, load }
  }
  if (kind === 'notRun') {
    return { kind: 'notRun', reason: headers[DispatchHeader.reason] as NotRunReason, retryAfterMs: Number(headers[DispatchHeader.retryAfterMs] ?? 0), load }
  }
  if (kind === 'unknown') return { kind: 'unknown', reason: headers[DispatchHeader.reason] as UnknownReason, load }
  return { kind: 'lost', message: `the agent answered ${response.statusCode} without a result` }
}

function parseLoad (header: string | string[] | undefined): ReportedLoad {
  const [running, waiting] = String(header ?? '').split(',').map(Number)
  if (running === undefined || waiting === undefined || Number.isNaN(running + waiting)) return NO_LOAD
  return { running, waiting }
}

function describeError (error: unknown): AttemptResult {
  const { isNotSent, message } = describeCallFailure(error)
  return { kind: isNotSent ? 'notSent' : 'lost', message }
}
