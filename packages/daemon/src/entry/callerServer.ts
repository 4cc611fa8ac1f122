/**
 * The callers' HTTP server of an entry. A request goes on only when its head is valid and its body is whole.
 */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'

import { NotRunReason } from '@dragonflylever/core'
import { CallerLimit, JOBS_PATH } from '@dragonflylever/protocol'
import type { Blackboard, Metrics, Tracer, WholeBody } from '@dragonflylever/runtime'
import { closeServer, dropRest, openServer, readWhole, sendJson } from '@dragonflylever/runtime'

import type { JobApi } from '../jobs/jobApi.js'
import type { FleetFacts } from '../shared/fleetFacts.js'
import { writeOutcome, writeRefusal } from './callerAnswer.js'
import { parseCallerRequest, refuse } from './callerRequest.js'
import type { CallerRequest, Refusal } from './callerRequest.js'
import type { RequestService } from './requestService.js'

const HEADERS_TIMEOUT_MS = 10_000
const REQUEST_TIMEOUT_MS = 30_000
const TIMEOUT_CHECK_MS = 1_000
const KEEP_ALIVE_MS = 65_000
const HEALTH_PATH = '/healthz'

/** What the server works with. */
export interface CallerServerParts {
  readonly board: Blackboard<FleetFacts>
  readonly service: RequestService
  readonly jobs: Pick<JobApi, 'handle'>
  readonly metrics: Metrics
  readonly tracer: Tracer
  readonly organisationKeys: Readonly<Record<string, string>> | undefined
  /** Most body bytes held at once, over all requests. */
  readonly maxBufferedBytes: number
}

type BodyResult = Exclude<WholeBody, { kind: 'tooLarge' }> | Refusal

export class CallerServer {
  private readonly _parts: CallerServerParts
  private readonly _server: Server
  private _bufferedBytes = 0

  constructor (parts: CallerServerParts) {
    this._parts = parts
    const options = {
      maxHeaderSize: CallerLimit.headerBytes,
      headersTimeout: HEADERS_TIMEOUT_MS,
      requestTimeout: REQUEST_TIMEOUT_MS,
      connectionsCheckingInterval: TIMEOUT_CHECK_MS,
      keepAliveTimeout: KEEP_ALIVE_MS,
      requireHostHeader: true
    }
    this._server = createServer(options, (request, response) => { void this._handle(request, response) })
    this._server.maxHeadersCount = 0
    this._server.on('upgrade', (_request, socket) => socket.destroy())
  }

  /** Starts listening; returns the address in use. */
  open (address: string): Promise<string> {
    return openServer(this._server, address)
  }

  /** Stops accepting and lets the requests under way finish. */
  close (): Promise<void> {
    return closeServer(this._server)
  }

  private async _handle (message: IncomingMessage, response: ServerResponse): Promise<void> {
    message.on('error', () => {})
    response.on('error', () => {})
    if (this._parts.board.get('isLeaving')) response.setHeader('connection', 'close')
    if (message.url === HEALTH_PATH) {
      this._sendHealth(response)
      return
    }
    if (message.url?.startsWith(JOBS_PATH) === true) {
      await this._parts.jobs.handle(message, response)
      return
    }
    const parsed = parseCallerRequest(message, {
      configuration: this._parts.board.get('configuration'),
      organisationKeys: this._parts.organisationKeys,
      now: performance.now()
    })
    if (parsed.kind === 'refused') {
      this._refuse(message, response, parsed)
      return
    }
    await this._serve(message, response, parsed.request)
  }

  private async _serve (message: IncomingMessage, response: ServerResponse, head: Omit<CallerRequest, 'body'>): Promise<void> {
    const gone = new AbortController()
    response.on('close', () => { if (!response.writableFinished) gone.abort() })
    const read = await this._readBody(message)
    if (read.kind === 'broken') return
    if (read.kind === 'refused') {
      this._refuse(message, response, read)
      return
    }
    const hop = this._parts.tracer.start('entry.request', head.traceparent)
    hop.set('dfl.class', head.className)
    hop.set('dfl.organisation', head.organisation)
    const outcome = await this._parts.service.serve({ ...head, body: read.body, traceparent: hop.traceparent }, gone.signal)
    this._bufferedBytes -= read.body.length
    hop.set('dfl.outcome', outcome.kind)
    hop.end()
    this._record(head, outcome.kind)
    writeOutcome(response, head.requestId, outcome)
  }

  private _record (head: Omit<CallerRequest, 'body'>, outcome: string): void {
    const tags = { class: head.className, organisation: head.organisation, outcome }
    this._parts.metrics.count('requests', 1, tags)
    this._parts.metrics.time('request_ms', performance.now() - head.arrivedAt, tags)
  }

  private _refuse (message: IncomingMessage, response: ServerResponse, refusal: Refusal): void {
    this._parts.metrics.count('requests_refused', 1, { reason: refusal.reason })
    writeRefusal(response, refusal)
    dropRest(message)
  }

  private _sendHealth (response: ServerResponse): void {
    const isLeaving = this._parts.board.get('isLeaving')
    const hasAgent = [...this._parts.board.get('members').values()].some(({ member }) => member.role === 'agent')
    const isReady = !isLeaving && hasAgent && this._parts.board.get('configuration') !== undefined
    sendJson(response, isReady ? 200 : 503, { status: isReady ? 'ready' : isLeaving ? 'leaving' : 'starting' })
  }

  private async _readBody (message: IncomingMessage): Promise<BodyResult> {
    const declared = Number(message.headers['content-length'] ?? 0)
    if (declared > CallerLimit.requestBodyBytes) return makeTooLarge()
    let held = 0
    const onBytes = (bytes: number): boolean => {
      held += bytes
      this._bufferedBytes += bytes
      return this._bufferedBytes <= this._parts.maxBufferedBytes
    }
    const read = await readWhole(message, { maxBytes: CallerLimit.requestBodyBytes, onBytes })
    if (read.kind === 'whole') return read
    const isOverBudget = this._bufferedBytes > this._parts.maxBufferedBytes
    this._bufferedBytes -= held
    if (read.kind === 'broken') return read
    return isOverBudget ? makeOverBudget() : makeTooLarge()
  }
}

function makeTooLarge (): Refusal {
  return refuse(413, NotRunReason.tooLarge, `the body is larger than ${CallerLimit.requestBodyBytes} bytes`)
}

function makeOverBudget (): Refusal {
  return refuse(503, NotRunReason.overloaded, 'this entry holds as many request bodies as it may; try again shortly')
}
