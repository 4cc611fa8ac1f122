/**
 * The endpoint stand-in on a socket: runs requests, records each execution, and does wrong on demand.
 * It answers with the digest of the body that it got, so that a crossed answer shows.
 */
import { createHash } from 'node:crypto'
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'

import { listen, readBody } from './httpStandIn.js'

/** Header by which a request says how long it runs, in milliseconds. */
export const RUN_MS_HEADER = 'x-run-ms'
/** Header that names the request in the record. */
export const WORK_ID_HEADER = 'x-work-id'
/** Header that asks for an answer body of this many bytes. */
export const ANSWER_BYTES_HEADER = 'x-answer-bytes'

/** What the endpoint does to requests while the fault is on. */
export type EndpointFault = 'none' | 'cutBefore' | 'cutAfter' | 'truncate' | 'noFraming' | 'fail' | 'hang'

/** One started execution. */
export interface Execution {
  readonly workId: string
  readonly path: string
  readonly startedAt: number
  endedAt: number | undefined
  isAborted: boolean
}

export class EndpointStandIn {
  readonly executions: Execution[] = []
  /** Fault for requests to come; a function decides per request. */
  fault: EndpointFault | ((workId: string) => EndpointFault) = 'none'
  /** Most executions seen at once. */
  maxRunning = 0
  /** Most connections seen at once. */
  maxConnections = 0
  private readonly _server: Server
  private readonly _sockets = new Set<Socket>()
  private _running = 0
  private _url = ''

  private constructor () {
    this._server = createServer((request, response) => { void this._handle(request, response) })
    this._server.keepAliveTimeout = 60_000
    this._server.on('connection', socket => this._count(socket))
  }

  /** Opens an endpoint on a loopback port; 0 takes a free one. */
  static async open (port = 0): Promise<EndpointStandIn> {
    const endpoint = new EndpointStandIn()
    endpoint._url = await listen(endpoint._server, port)
    return endpoint
  }

  get url (): string {
    return this._url
  }

  /** Counts the executions of a request. */
  countExecutions (workId: string): number {
    return this.executions.filter(execution => execution.workId === workId).length
  }

  async close (): Promise<void> {
    this._server.closeAllConnections()
    await new Promise(resolve => this._server.close(resolve))
  }

  private _count (socket: Socket): void {
    this._sockets.add(socket)
    this.maxConnections = Math.max(this.maxConnections, this._sockets.size)
    socket.on('close', () => this._sockets.delete(socket))
  }

  private async _handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const workId = request.headers[WORK_ID_HEADER]?.toString() ?? ''
    const fault = typeof this.fault === 'function' ? this.fault(workId) : this.fault
    if (fault === 'cutBefore') {
      request.socket.destroy()
      return
    }
    try {
      const body = await readBody(request)
      await this._execute(workId, request, response, body, fault)
    } catch {
      response.destroy()
    }
  }

  private async _execute (workId: string, request: IncomingMessage, response: ServerResponse, body: Buffer, fault: EndpointFault): Promise<void> {
    const execution: Execution = { workId, path: request.url ?? '', startedAt: performance.now(), endedAt: undefined, isAborted: false }
    this.executions.push(execution)
    this._running++
    this.maxRunning = Math.max(this.maxRunning, this._running)
    const closed = new Promise<void>(resolve => response.on('close', resolve))
    response.on('close', () => { execution.isAborted = !response.writableFinished })
    const runMs = Number(request.headers[RUN_MS_HEADER] ?? 0)
    if (runMs > 0) await Promise.race([closed, new Promise(resolve => setTimeout(resolve, runMs))])
    this._running--
    execution.endedAt = performance.now()
    if (fault !== 'hang') sendAnswer(request, response, body, fault)
  }
}

function sendAnswer (request: IncomingMessage, response: ServerResponse, body: Buffer, fault: EndpointFault): void {
  const digest = createHash('sha256').update(body).digest('hex')
  const padding = Number(request.headers[ANSWER_BYTES_HEADER] ?? 0)
  const answer = Buffer.from(JSON.stringify({ digest, path: request.url, method: request.method, padding: 'x'.repeat(padding) }))
  if (fault === 'cutAfter') {
    response.destroy()
  } else if (fault === 'truncate') {
    response.writeHead(200, { 'content-type': 'application/json', 'content-length': answer.length })
    response.write(answer.subarray(0, answer.length - 1), () => response.destroy())
  } else if (fault === 'noFraming') {
    response.socket?.end(`HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n${answer.subarray(0, answer.length / 2).toString()}`)
  } else {
    response.writeHead(fault === 'fail' ? 500 : 200, { 'content-type': 'application/json', 'content-length': answer.length })
    response.end(answer)
  }
}
