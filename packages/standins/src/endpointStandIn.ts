/**
 * Endpoint stand-in over HTTP: runs requests, records each execution and injects faults on demand.
 * It answers with the digest of the request body, so that a test detects an answer delivered to the wrong request.
 */
import { createHash } from 'node:crypto'
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'

import { listen, readBody } from './httpStandIn.js'

/** Header that sets how long the request runs, in milliseconds. */
export const RUN_MS_HEADER = 'x-run-ms'
/** Header that identifies the request in {@link EndpointStandIn.executions}. */
export const WORK_ID_HEADER = 'x-work-id'
/** Header that sets the number of padding bytes in the answer body. */
export const ANSWER_BYTES_HEADER = 'x-answer-bytes'

/**
 * Fault that the endpoint injects into requests. `cutBefore` closes the connection before the execution, `cutAfter` after it, and `truncate`
 * before the last byte of the answer. `noFraming` sends half of an answer that has no `content-length`. `fail` answers with status 500.
 * `hang` never answers.
 */
export type EndpointFault = 'none' | 'cutBefore' | 'cutAfter' | 'truncate' | 'noFraming' | 'fail' | 'hang'

/** Record of an execution that was started. */
export interface Execution {
  readonly workId: string
  readonly path: string
  readonly startedAt: number
  endedAt: number | undefined
  isAborted: boolean
}

export class EndpointStandIn {
  readonly executions: Execution[] = []
  /** Fault that is injected into new requests; a function chooses the fault by the work id of the request. */
  fault: EndpointFault | ((workId: string) => EndpointFault) = 'none'
  /** Highest number of concurrent executions so far. */
  maxRunning = 0
  /** Highest number of concurrent connections so far. */
  maxConnections = 0
  private readonly _server: Server
  private readonly _sockets = new Set<Socket>()
  private _running = 0
  private _url = ''

  private constructor () {
    this._server = createServer((request, response) => { void this._handleRequest(request, response) })
    this._server.keepAliveTimeout = 60_000
    this._server.on('connection', socket => this._trackConnection(socket))
  }

  /** Starts an endpoint on a loopback port; 0 picks a free port. */
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

  private _trackConnection (socket: Socket): void {
    this._sockets.add(socket)
    this.maxConnections = Math.max(this.maxConnections, this._sockets.size)
    socket.on('close', () => this._sockets.delete(socket))
  }

  private async _handleRequest (request: IncomingMessage, response: ServerResponse): Promise<void> {
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
    if (runMs > 0) await waitForRunEnd(runMs, closed)
    this._running--
    execution.endedAt = performance.now()
    if (fault !== 'hang') sendAnswer(request, response, body, fault)
  }
}

/** Waits until the run time has passed or the connection closes, whichever is first. */
async function waitForRunEnd (runMs: number, closed: Promise<void>): Promise<void> {
  let timer: NodeJS.Timeout | undefined
  await Promise.race([closed, new Promise(resolve => { timer = setTimeout(resolve, runMs) })])
  clearTimeout(timer)
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
