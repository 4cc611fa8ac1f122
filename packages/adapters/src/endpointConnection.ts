/**
 * One request over a connection of an endpoint's pool. Tracks whether the connection was established, and on abort waits until
 * the endpoint has stopped working on the request.
 */
import { request as openRequest } from 'node:http'
import type { Agent, ClientRequest, IncomingMessage, RequestOptions } from 'node:http'
import type { Socket } from 'node:net'

/** How long an endpoint may take to close its side of an aborted request's connection before the connection is destroyed, in milliseconds. */
const CLOSE_TIMEOUT_MS = 10_000
/** Timeout for opening a connection, in milliseconds; short, since the endpoint is on the same host. */
const CONNECT_TIMEOUT_MS = 1_000

export class EndpointConnection {
  private readonly _request: ClientRequest
  private _isConnected = false
  private _response: IncomingMessage | undefined

  constructor (options: RequestOptions & { readonly agent: Agent }, body: Buffer) {
    this._request = openRequest(options)
    this._request.on('socket', socket => this._trackConnect(socket))
    this._request.end(body.length > 0 ? body : undefined)
  }

  /** True if no connection was established, so that the endpoint received no part of the request. */
  get isNotSent (): boolean {
    return !this._isConnected
  }

  /** Resolves with the status and headers of the answer; rejects if the request is aborted or fails before the headers have arrived. */
  readHead (signal: AbortSignal): Promise<IncomingMessage> {
    return new Promise((resolve, reject) => {
      const onAbort = (): void => reject(new Error('the request was aborted'))
      signal.addEventListener('abort', onAbort, { once: true })
      this._request.on('response', response => {
        this._response = response
        resolve(response)
      })
      this._request.on('error', reject)
      if (signal.aborted) onAbort()
    })
  }

  /**
   * Aborts the request: closes this side of the connection and waits until the endpoint closes its side, which the endpoint does once it has
   * noticed the abort. Resolves after ten seconds at the latest.
   */
  async abortRequest (): Promise<void> {
    const { socket } = this._request
    if (socket === null || !this._isConnected) {
      this._request.destroy()
      return
    }
    if (socket.destroyed) return
    const closed = new Promise<void>(resolve => socket.once('close', () => resolve()))
    this._response?.resume()
    socket.end()
    const timer = setTimeout(() => socket.destroy(), CLOSE_TIMEOUT_MS)
    await closed
    clearTimeout(timer)
  }

  private _trackConnect (socket: Socket): void {
    if (!socket.connecting) {
      this._isConnected = true
      return
    }
    const timer = setTimeout(() => socket.destroy(new Error(`no connection within ${CONNECT_TIMEOUT_MS} ms`)), CONNECT_TIMEOUT_MS)
    socket.once('connect', () => { this._isConnected = true })
    for (const event of ['connect', 'close']) socket.once(event, () => clearTimeout(timer))
  }
}
