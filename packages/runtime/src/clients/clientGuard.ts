/**
 * Guards the HTTP servers of a process against clients outside the limits. All servers of the process share one byte budget and one number of connections. When the budget runs short, bodies are read more
 * slowly first; then the client that holds the most and makes the least progress loses its connection. Limits that Node's server has are set there.
 */
import { createServer } from 'node:http'
import type { Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { Duplex } from 'node:stream'

import { LogLimiter } from '../logLimiter.js'
import type { Logger } from '../logger.js'
import type { Metrics } from '../metrics.js'
import { createRequestListener } from '../requestListener.js'
import type { RequestHandler } from '../requestListener.js'
import { ByteBudget, findWorstHolder } from './byteBudget.js'
import { ClientConnection } from './clientConnection.js'
import type { ClientEvent } from './clientConnection.js'
import { findClientFault, formatFaultAnswer, refuseHead } from './clientErrors.js'
import { DEFAULT_CLIENT_LIMITS } from './clientLimits.js'
import type { ClientLimits } from './clientLimits.js'
import { ClientMessage } from './clientMessage.js'
import { dropBody } from './dropBody.js'
import type { DiscardLimits } from './dropBody.js'
import { ReadScheduler } from './readScheduler.js'

/** Interval at which Node looks for heads and requests that are not complete in time, in milliseconds. */
const TIMEOUT_CHECK_MS = 1_000
/** Interval at which slowed clients are read once more, in milliseconds; one read takes up to 64 KiB of a client. */
const PRESSURE_INTERVAL_MS = 100
/** Time that a client has for its request before it may be dropped because others are slowed, in milliseconds; a body of 256 KiB takes 0.3 s over a link of 7 Mbit/s. */
const PRESSURE_BUSY_MS = 1_000
/** Connections that a server accepts beyond the limit while others are being closed, as a share of the limit. */
const CONNECTION_MARGIN = 0.25
/** How much of a refused body is read and discarded; a client that sends more sees its connection closed, perhaps before it has read the answer. */
const DISCARD_LIMITS: DiscardLimits = { maxBytes: 1024 * 1024, timeoutMs: 1_000 }
const MAX_LINES_PER_S = 1
const GAUGE_INTERVAL_MS = 1_000

/** Dependencies of {@link ClientGuard}. */
export interface ClientGuardDependencies {
  /** Limits that differ from the defaults. */
  readonly limits?: Partial<ClientLimits> | undefined
  readonly metrics: Metrics
  readonly logger: Logger
}

/** Options of one server. */
export interface GuardedServerOptions {
  /** Name of the port in logs and metrics. */
  readonly port: string
  readonly handle: RequestHandler
  readonly logger: Logger
  /** Limits of this port that differ from those of the process; bytes held and connections are limited for the process only. */
  readonly limits?: Partial<Omit<ClientLimits, 'maxHeldBytes' | 'maxConnections'>>
  /** How much of a refused body is read and discarded; 1 MiB within 1 s if absent. */
  readonly discardLimits?: DiscardLimits
}

export class ClientGuard {
  private readonly _dependencies: ClientGuardDependencies
  private readonly _limits: ClientLimits
  private readonly _budget: ByteBudget
  private readonly _connections = new Map<Duplex, ClientConnection>()
  private readonly _throttled = new Set<ClientConnection>()
  private readonly _scheduler = new ReadScheduler()
  private readonly _limiter = new LogLimiter(MAX_LINES_PER_S)
  private readonly _gaugeTimer: NodeJS.Timeout
  private _pressureTimer: NodeJS.Timeout | undefined

  constructor (dependencies: ClientGuardDependencies) {
    this._dependencies = dependencies
    this._limits = { ...DEFAULT_CLIENT_LIMITS, ...dependencies.limits }
    this._budget = new ByteBudget(this._limits.maxHeldBytes)
    this._gaugeTimer = setInterval(() => this._recordGauges(), GAUGE_INTERVAL_MS).unref()
  }

  /** Bytes that are held for clients now. */
  get heldBytes (): number {
    return this._budget.usedBytes
  }

  /** Creates a server whose clients are guarded; it does not listen yet. */
  createServer (options: GuardedServerOptions): Server {
    const limits = { ...this._limits, ...options.limits }
    const server = createServer({
      IncomingMessage: ClientMessage,
      maxHeaderSize: limits.maxHeaderBytes,
      headersTimeout: limits.headTimeoutMs,
      requestTimeout: limits.requestTimeoutMs,
      keepAliveTimeout: limits.idleTimeoutMs,
      connectionsCheckingInterval: TIMEOUT_CHECK_MS,
      // Node would answer such requests itself, as many as a client sends ahead.
      requireHostHeader: false
    })
    server.maxHeadersCount = limits.maxHeaders
    server.maxConnections = Math.ceil(limits.maxConnections * (1 + CONNECTION_MARGIN))
    server.timeout = limits.idleTimeoutMs
    server.on('timeout', (socket: Duplex) => this._onTimeout(socket))
    // Node's own listener gets the connection as a stream that is read in slices.
    const serveStreams = server.listeners('connection')
    server.removeAllListeners('connection')
    server.on('connection', (socket: Socket) => {
      const stream = this._acceptConnection(options.port, socket, limits)
      for (const serveStream of serveStreams) serveStream.call(server, stream)
    })
    server.on('drop', () => this._countCause('dropped', options.port, 'connections'))
    server.on('clientError', (error: NodeJS.ErrnoException, socket: Duplex) => this._onClientError(error, socket))
    const serve = createRequestListener((message, response) => this._serveRequest(options, message as ClientMessage, response), options.logger)
    const listen = (message: ClientMessage, response: ServerResponse): void => {
      if (this._beginRequest(message, response)) serve(message, response)
    }
    server.on('request', listen)
    // Without this listener, Node would ask a client for a body that is announced as too large.
    server.on('checkContinue', listen)
    server.on('checkExpectation', (message: ClientMessage, response: ServerResponse) => {
      if (this._beginRequest(message, response)) refuseHead(message, response, 417)
    })
    return server
  }

  close (): void {
    clearInterval(this._gaugeTimer)
    clearTimeout(this._pressureTimer)
  }

  private _acceptConnection (port: string, socket: Socket, limits: ClientLimits): Duplex {
    const connection = new ClientConnection(port, socket, {
      limits,
      scheduler: this._scheduler,
      reserveBytes: (holder, bytes) => this._reserveBytes(holder, bytes),
      releaseBytes: bytes => this._budget.release(bytes),
      onPart: holder => { if (this._budget.isPressed) this._throttleConnection(holder) },
      countCause: (event, name, cause) => this._countCause(event, name, cause)
    })
    if (this._connections.size >= limits.maxConnections) findWorstHolder(this._connections.values(), { now: performance.now(), minBusyMs: 0, minHeldBytes: 0 })?.drop('connections')
    const { stream } = connection
    this._connections.set(stream, connection)
    stream.on('close', () => {
      this._connections.delete(stream)
      this._throttled.delete(connection)
      connection.end()
    })
    connection.open()
    return stream
  }

  /** Starts a request; returns false if its connection has been dropped. */
  private _beginRequest (message: ClientMessage, response: ServerResponse): boolean {
    const connection = this._connections.get(message.socket)
    // Node still parses what it had read of a connection when that was dropped.
    if (connection === undefined || connection.isClosed) return false
    message.lease = connection.beginRequest(message, response)
    return message.lease !== undefined
  }

  private async _serveRequest (options: GuardedServerOptions, message: ClientMessage, response: ServerResponse): Promise<void> {
    const { lease } = message
    const connection = this._connections.get(message.socket)
    if (lease === undefined || connection === undefined) return
    if (message.headers.host === undefined && message.httpVersion === '1.1') return refuseHead(message, response, 400)
    response.on('close', () => {
      if (message.complete || connection.isClosed) connection.endRequest(lease)
      else dropBody(connection, message, options.discardLimits ?? DISCARD_LIMITS, () => connection.endRequest(lease))
    })
    await options.handle(message, response)
    const unsent = response.writableFinished ? 0 : response.writableLength
    if (unsent > 0 && lease.reserve(unsent) === 'refused') connection.drop('unreadAnswers')
  }

  /** Reserves bytes for a connection. While there is no room, drops the worst of the others. Returns false if the connection is itself the worst, or no other may be dropped. */
  private _reserveBytes (connection: ClientConnection, bytes: number): boolean {
    while (!this._budget.reserve(bytes)) {
      const worst = findWorstHolder(this._connections.values(), { now: performance.now(), minBusyMs: 0, minHeldBytes: 0 })
      if (worst === undefined || worst === connection) return false
      worst.drop('heldBytes')
    }
    return true
  }

  /** Stops reading a connection until the next time that slowed clients are read once more. */
  private _throttleConnection (connection: ClientConnection): void {
    connection.hold('pressure')
    this._throttled.add(connection)
    this._pressureTimer ??= setTimeout(() => this._settlePressure(), PRESSURE_INTERVAL_MS)
  }

  /** Drops the worst clients whose requests take long while others are slowed, and reads the others once more. */
  private _settlePressure (): void {
    this._pressureTimer = undefined
    const now = performance.now()
    while (this._budget.isPressed) {
      const worst = findWorstHolder(this._connections.values(), { now, minBusyMs: PRESSURE_BUSY_MS, minHeldBytes: 1 })
      if (worst === undefined) break
      worst.drop('heldBytes')
    }
    for (const connection of this._throttled) connection.resume('pressure')
    this._throttled.clear()
  }

  /** Closes a connection that was idle for too long. One whose request is carried out stays open: it waits for the system. */
  private _onTimeout (socket: Duplex): void {
    const connection = this._connections.get(socket)
    if (connection === undefined || connection.requests.size === 0) socket.destroy()
    else if (connection.isDroppable) connection.drop('idle')
  }

  private _onClientError (error: NodeJS.ErrnoException, socket: Duplex): void {
    const connection = this._connections.get(socket)
    const requests = [...connection?.requests ?? []]
    const fault = findClientFault(error.code, requests.some(({ message }) => !message.complete))
    if (connection === undefined || connection.isClosed || fault === undefined) {
      socket.destroy()
      return
    }
    // An answer to the fault would be taken for the answer to a request that was read before.
    if (socket.writable && requests.every(({ message, response }) => !message.complete && !response.headersSent)) socket.write(formatFaultAnswer(fault))
    connection.drop(fault.cause)
  }

  private _countCause (event: ClientEvent, port: string, cause: string): void {
    const { metrics, logger } = this._dependencies
    metrics.count(`clients_${event}`, 1, { port, cause })
    const leftOut = this._limiter.admit(`${event} ${cause}`)
    if (leftOut !== undefined) logger.warn({ port, cause, leftOut, heldBytes: this._budget.usedBytes, connections: this._connections.size }, event === 'dropped' ? 'closed the connection of a client outside the limits' : 'refused a request outside the limits')
  }

  private _recordGauges (): void {
    this._dependencies.metrics.gauge('client_held_bytes', this._budget.usedBytes)
    this._dependencies.metrics.gauge('client_connections', this._connections.size)
  }
}
