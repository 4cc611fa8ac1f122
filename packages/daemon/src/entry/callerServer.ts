/**
 * HTTP server of an entry for callers. A request is served only when its head is valid and its body is complete.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'

import { NotRunReason } from '@dragonflylever/core'
import { CallerLimit, JOBS_PATH } from '@dragonflylever/protocol'
import type { Blackboard, ClientGuard, Logger, Metrics, Tracer, ReadBodyResult } from '@dragonflylever/runtime'
import { closeServer, openServer, readBody, sendJson } from '@dragonflylever/runtime'

import type { JobApi } from '../jobs/jobApi.js'
import type { FleetState } from '../shared/fleetState.js'
import { writeOutcome, writeRefusal } from './callerAnswer.js'
import { parseCallerRequest, makeRefusal } from './callerRequest.js'
import type { CallerRequest, Refusal } from './callerRequest.js'
import type { RequestService } from './requestService.js'

const HEADERS_TIMEOUT_MS = 10_000
const REQUEST_TIMEOUT_MS = 30_000
const KEEP_ALIVE_MS = 65_000
const HEALTH_PATH = '/healthz'
/** How much of a refused body is read and discarded: four times the largest body, within the time for a request. */
const DISCARD_LIMITS = { maxBytes: 16 * 1024 * 1024, timeoutMs: REQUEST_TIMEOUT_MS }

/** Dependencies of {@link CallerServer}. */
export interface CallerServerDependencies {
  readonly board: Blackboard<FleetState>
  readonly service: RequestService
  readonly jobs: Pick<JobApi, 'handle'>
  readonly metrics: Metrics
  readonly tracer: Tracer
  readonly organisationKeys: Readonly<Record<string, string>> | undefined
  /** Guards the process's servers against clients outside the limits. */
  readonly guard: ClientGuard
  readonly logger: Logger
}

type BodyResult = Extract<ReadBodyResult, { kind: 'whole' | 'broken' }> | Refusal

export class CallerServer {
  private readonly _dependencies: CallerServerDependencies
  private readonly _server: Server

  constructor (dependencies: CallerServerDependencies) {
    this._dependencies = dependencies
    this._server = dependencies.guard.createServer({
      port: 'callers',
      logger: dependencies.logger,
      handle: (request, response) => this._handleRequest(request, response),
      limits: { maxHeaderBytes: CallerLimit.headerBytes, headTimeoutMs: HEADERS_TIMEOUT_MS, requestTimeoutMs: REQUEST_TIMEOUT_MS, idleTimeoutMs: KEEP_ALIVE_MS },
      discardLimits: DISCARD_LIMITS
    })
    this._server.on('upgrade', (_request, socket) => socket.destroy())
  }

  /** Starts listening; returns the bound address as IP:PORT. */
  open (address: string): Promise<string> {
    return openServer(this._server, address)
  }

  /** Stops accepting requests; resolves when those in progress have finished. */
  close (): Promise<void> {
    return closeServer(this._server)
  }

  private async _handleRequest (message: IncomingMessage, response: ServerResponse): Promise<void> {
    message.on('error', () => {})
    response.on('error', () => {})
    if (this._dependencies.board.get('isLeaving')) response.setHeader('connection', 'close')
    if (message.url === HEALTH_PATH) {
      this._sendHealth(response)
      return
    }
    if (message.url?.startsWith(JOBS_PATH) === true) {
      await this._dependencies.jobs.handle(message, response)
      return
    }
    const parsed = parseCallerRequest(message, {
      configuration: this._dependencies.board.get('configuration'),
      organisationKeys: this._dependencies.organisationKeys,
      now: performance.now()
    })
    if (parsed.kind === 'refused') {
      this._refuseRequest(response, parsed)
      return
    }
    await this._serveCall(message, response, parsed.request)
  }

  private async _serveCall (message: IncomingMessage, response: ServerResponse, head: Omit<CallerRequest, 'body'>): Promise<void> {
    const gone = new AbortController()
    response.on('close', () => { if (!response.writableFinished) gone.abort() })
    const bodyResult = await this._readBody(message)
    if (bodyResult.kind === 'broken') return
    if (bodyResult.kind === 'refused') {
      this._refuseRequest(response, bodyResult)
      return
    }
    const span = this._dependencies.tracer.start('entry.request', head.traceparent)
    span.set('dfl.class', head.className)
    span.set('dfl.organisation', head.organisation)
    const outcome = await this._dependencies.service.serve({ ...head, body: bodyResult.body, traceparent: span.traceparent }, gone.signal)
    span.set('dfl.outcome', outcome.kind)
    span.end()
    this._recordMetrics(head, outcome.kind)
    writeOutcome(response, head.requestId, outcome)
  }

  private _recordMetrics (head: Omit<CallerRequest, 'body'>, outcome: string): void {
    const tags = { class: head.className, organisation: head.organisation, outcome }
    this._dependencies.metrics.count('requests', 1, tags)
    this._dependencies.metrics.time('request_ms', performance.now() - head.arrivedAt, tags)
  }

  private _refuseRequest (response: ServerResponse, refusal: Refusal): void {
    this._dependencies.metrics.count('requests_refused', 1, { reason: refusal.reason })
    writeRefusal(response, refusal)
  }

  private _sendHealth (response: ServerResponse): void {
    const isLeaving = this._dependencies.board.get('isLeaving')
    const hasAgent = [...this._dependencies.board.get('members').values()].some(({ member }) => member.role === 'agent')
    const isReady = !isLeaving && hasAgent && this._dependencies.board.get('configuration') !== undefined
    sendJson(response, isReady ? 200 : 503, { status: isReady ? 'ready' : isLeaving ? 'leaving' : 'starting' })
  }

  private async _readBody (message: IncomingMessage): Promise<BodyResult> {
    const result = await readBody(message, { maxBytes: CallerLimit.requestBodyBytes })
    if (result.kind === 'tooLarge') return makeTooLargeRefusal()
    return result.kind === 'overloaded' ? makeOverBudgetRefusal() : result
  }
}

function makeTooLargeRefusal (): Refusal {
  return makeRefusal(413, NotRunReason.tooLarge, `the body is larger than ${CallerLimit.requestBodyBytes} bytes`)
}

function makeOverBudgetRefusal (): Refusal {
  return makeRefusal(503, NotRunReason.overloaded, 'this entry holds as many request bodies as it may; try again shortly')
}
