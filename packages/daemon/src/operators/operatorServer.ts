/**
 * The operators' HTTP server of an entry, on a port separate from the callers' port: serves the configuration, its history,
 * the status of the fleet and a report on the request queue.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'

import { MAX_DOCUMENT_BYTES, OperatorPath, applyRequestSchema, isBoundedJson } from '@dragonflylever/protocol'
import type { ApplyOutcome, QueueReport } from '@dragonflylever/protocol'
import type { Blackboard, ClientGuard, Logger } from '@dragonflylever/runtime'
import { closeServer, isSameKey, openServer, readBody, sendJson } from '@dragonflylever/runtime'

import type { FleetState } from '../shared/fleetState.js'
import type { StatusSource } from '../shared/statusSource.js'
import type { ConfigurationAcceptor } from './configurationAcceptor.js'
import type { HistoryReader } from './historyReader.js'

/** Maximum length of a request body in bytes; leaves room for the JSON escapes in the largest document. */
const MAX_BODY_BYTES = 2 * MAX_DOCUMENT_BYTES
const MAX_HEADER_BYTES = 8 * 1024
const REQUEST_TIMEOUT_MS = 10_000
const MAX_CONNECTIONS = 64

const OUTCOME_STATUS_CODES: Readonly<Record<ApplyOutcome['kind'], number>> = { accepted: 200, stale: 409, refused: 422, storeUnavailable: 503, unsettled: 504 }

/** Dependencies of {@link OperatorServer}. */
export interface OperatorServerDependencies {
  readonly board: Blackboard<FleetState>
  readonly acceptor: ConfigurationAcceptor
  readonly history: HistoryReader
  readonly status: StatusSource
  /** Returns a report on the request queue of this entry. */
  readonly describeQueue: () => QueueReport
  /** Key that operators must present; every request is refused when it is undefined. */
  readonly operatorsKey: string | undefined
  readonly guard: ClientGuard
  readonly logger: Logger
}

export class OperatorServer {
  private readonly _dependencies: OperatorServerDependencies
  private readonly _server: Server

  constructor (dependencies: OperatorServerDependencies) {
    this._dependencies = dependencies
    this._server = dependencies.guard.createServer({
      port: 'operators',
      logger: dependencies.logger,
      handle: (request, response) => this._handleRequest(request, response),
      limits: { maxHeaderBytes: MAX_HEADER_BYTES, headTimeoutMs: REQUEST_TIMEOUT_MS, requestTimeoutMs: REQUEST_TIMEOUT_MS }
    })
    this._server.maxConnections = MAX_CONNECTIONS
  }

  /** Starts listening; resolves to the bound address as IP:PORT. */
  open (address: string): Promise<string> {
    return openServer(this._server, address)
  }

  close (): Promise<void> {
    return closeServer(this._server)
  }

  private async _handleRequest (request: IncomingMessage, response: ServerResponse): Promise<void> {
    request.on('error', () => {})
    response.on('error', () => {})
    try {
      if (this._refuseUnauthorised(request, response)) return
      await this._routeRequest(request, response)
    } catch {
      response.destroy()
    }
  }

  private _refuseUnauthorised (request: IncomingMessage, response: ServerResponse): boolean {
    const { operatorsKey } = this._dependencies
    if (operatorsKey === undefined) {
      sendError(response, 403, 'this entry has no operatorsKey in its settings; set one to use the operators\' port')
      return true
    }
    const presented = /^Bearer (.+)$/.exec(request.headers.authorization ?? '')?.[1]
    if (isSameKey(presented, operatorsKey)) return false
    sendError(response, 401, 'the operators\' key is missing or wrong; send it as "authorization: Bearer KEY"')
    return true
  }

  private async _routeRequest (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://operators')
    const route = `${request.method} ${url.pathname}`
    if (route === `GET ${OperatorPath.configuration}`) return this._sendConfiguration(response)
    if (route === `POST ${OperatorPath.configuration}`) return this._applyConfiguration(request, response)
    if (route === `GET ${OperatorPath.history}`) return this._sendHistory(url.searchParams.get('revision'), response)
    if (route === `GET ${OperatorPath.status}`) return sendJson(response, 200, await this._dependencies.status.read())
    if (route === `GET ${OperatorPath.explain}`) return sendJson(response, 200, this._dependencies.describeQueue())
    sendError(response, 404, `no such path: ${request.method} ${url.pathname}`)
  }

  private _sendConfiguration (response: ServerResponse): void {
    const configuration = this._dependencies.board.get('configuration')
    if (configuration === undefined) return sendJson(response, 200, { revision: 0 })
    const { revision, declarations, acceptedAt, acceptedBy } = configuration
    sendJson(response, 200, { revision, declarations, acceptedAt, acceptedBy })
  }

  private async _sendHistory (revision: string | null, response: ServerResponse): Promise<void> {
    if (revision !== null) return this._sendRevision(revision, response)
    const outcome = await this._dependencies.history.listRevisions()
    if (outcome.kind !== 'ok') return sendError(response, 503, `the store can't be read: ${outcome.message}`)
    sendJson(response, 200, { entries: outcome.entries })
  }

  private async _sendRevision (text: string, response: ServerResponse): Promise<void> {
    if (!/^\d{1,9}$/.test(text)) return sendError(response, 400, 'revision must be a whole number')
    const outcome = await this._dependencies.history.readRevision(Number(text))
    if (outcome.kind !== 'ok') return sendError(response, 503, `the store can't be read: ${outcome.message}`)
    if (outcome.record === undefined) return sendError(response, 404, `revision ${text} isn't kept; see the history for those that are`)
    const { revision, declarations, acceptedAt, acceptedBy } = outcome.record
    sendJson(response, 200, { revision, declarations, acceptedAt, acceptedBy })
  }

  private async _applyConfiguration (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const read = await readBody(request, { maxBytes: MAX_BODY_BYTES })
    if (read.kind === 'broken') return
    if (read.kind === 'tooLarge') return sendError(response, 413, `the body is larger than ${MAX_BODY_BYTES} bytes`)
    if (read.kind === 'overloaded') return sendError(response, 503, 'this entry holds as many requests as it may; nothing was applied')
    const checked = applyRequestSchema.safeParse(isBoundedJson(read.body) ? parseJson(read.body.toString('utf8')) : undefined)
    if (!checked.success) {
      const issue = checked.error.issues[0]
      return sendError(response, 400, `${issue?.path.join('.') ?? ''}: ${issue?.message ?? 'bad request'}`)
    }
    const outcome = await this._dependencies.acceptor.apply(checked.data)
    sendJson(response, OUTCOME_STATUS_CODES[outcome.kind], outcome)
  }
}

function sendError (response: ServerResponse, status: number, error: string): void {
  response.setHeader('connection', 'close')
  sendJson(response, status, { error })
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
