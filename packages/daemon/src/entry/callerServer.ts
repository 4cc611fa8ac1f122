/**
 * HTTP server of an entry for callers. A request is served only when its head is valid and its body is complete.
 */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'

import { NotRunReason } from '@dragonflylever/core'
import { CallerLimit, JOBS_PATH } from '@dragonflylever/protocol'
import type { Blackboard, Metrics, Tracer, ReadBodyResult } from '@dragonflylever/runtime'
import { closeServer, drainBody, openServer, readBody, sendJson } from '@dragonflylever/runtime'

import type { JobApi } from '../jobs/jobApi.js'
import type { FleetState } from '../shared/fleetState.js'
import { writeOutcome, writeRefusal } from './callerAnswer.js'
import { parseCallerRequest, makeRefusal } from './callerRequest.js'
import type { CallerRequest, Refusal } from './callerRequest.js'
import type { RequestService } from './requestService.js'

const HEADERS_TIMEOUT_MS = 10_000
const REQUEST_TIMEOUT_MS = 30_000
const TIMEOUT_CHECK_MS = 1_000
const KEEP_ALIVE_MS = 65_000
const HEALTH_PATH = '/healthz'

/** Dependencies of {@link CallerServer}. */
export interface CallerServerDependencies {
  readonly board: Blackboard<FleetState>
  readonly service: RequestService
  readonly jobs: Pick<JobApi, 'handle'>
  readonly metrics: Metrics
  readonly tracer: Tracer
  readonly organisationKeys: Readonly<Record<string, string>> | undefined
  /** Maximum number of bytes of request bodies that are buffered at a time, over all requests. */
  readonly maxBufferedBytes: number
}

type BodyResult = Exclude<ReadBodyResult, { kind: 'tooLarge' }> | Refusal

export class CallerServer {
  private readonly _dependencies: CallerServerDependencies
  private readonly _server: Server
  private _bufferedBytes = 0

  constructor (dependencies: CallerServerDependencies) {
    this._dependencies = dependencies
    const options = {
      maxHeaderSize: CallerLimit.headerBytes,
      headersTimeout: HEADERS_TIMEOUT_MS,
      requestTimeout: REQUEST_TIMEOUT_MS,
      connectionsCheckingInterval: TIMEOUT_CHECK_MS,
      keepAliveTimeout: KEEP_ALIVE_MS,
      requireHostHeader: true
    }
    this._server = createServer(options, (request, response) => { void this._handleRequest(request, response) })
    this._server.maxHeadersCount = 0
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
      this._refuseRequest(message, response, parsed)
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
      this._refuseRequest(message, response, bodyResult)
      return
    }
    const span = this._dependencies.tracer.start('entry.request', head.traceparent)
    span.set('dfl.class', head.className)
    span.set('dfl.organisation', head.organisation)
    const outcome = await this._dependencies.service.serve({ ...head, body: bodyResult.body, traceparent: span.traceparent }, gone.signal)
    this._bufferedBytes -= bodyResult.body.length
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

  private _refuseRequest (message: IncomingMessage, response: ServerResponse, refusal: Refusal): void {
    this._dependencies.metrics.count('requests_refused', 1, { reason: refusal.reason })
    writeRefusal(response, refusal)
    drainBody(message)
  }

  private _sendHealth (response: ServerResponse): void {
    const isLeaving = this._dependencies.board.get('isLeaving')
    const hasAgent = [...this._dependencies.board.get('members').values()].some(({ member }) => member.role === 'agent')
    const isReady = !isLeaving && hasAgent && this._dependencies.board.get('configuration') !== undefined
    sendJson(response, isReady ? 200 : 503, { status: isReady ? 'ready' : isLeaving ? 'leaving' : 'starting' })
  }

  private async _readBody (message: IncomingMessage): Promise<BodyResult> {
    const declared = Number(message.headers['content-length'] ?? 0)
    if (declared > CallerLimit.requestBodyBytes) return makeTooLargeRefusal()
    let requestBytes = 0
    const onBytes = (bytes: number): boolean => {
      requestBytes += bytes
      this._bufferedBytes += bytes
      return this._bufferedBytes <= this._dependencies.maxBufferedBytes
    }
    const result = await readBody(message, { maxBytes: CallerLimit.requestBodyBytes, onBytes })
    if (result.kind === 'whole') return result
    const isOverBudget = this._bufferedBytes > this._dependencies.maxBufferedBytes
    this._bufferedBytes -= requestBytes
    if (result.kind === 'broken') return result
    return isOverBudget ? makeOverBudgetRefusal() : makeTooLargeRefusal()
  }
}

function makeTooLargeRefusal (): Refusal {
  return makeRefusal(413, NotRunReason.tooLarge, `the body is larger than ${CallerLimit.requestBodyBytes} bytes`)
}

function makeOverBudgetRefusal (): Refusal {
  return makeRefusal(503, NotRunReason.overloaded, 'this entry holds as many request bodies as it may; try again shortly')
}
