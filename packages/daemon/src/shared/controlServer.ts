/**
 * The control HTTP server of a process: JSON-RPC and, on an agent, dispatched requests.
 */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'

import { RPC_PATH } from '@dragonflylever/protocol'
import { RpcServer, closeServer, openServer, sendJson } from '@dragonflylever/runtime'

const KEEP_ALIVE_MS = 65_000

/** Handles requests of one path. */
export type PathHandler = (request: IncomingMessage, response: ServerResponse) => Promise<void>

/** Options of {@link ControlServer}. */
export interface ControlServerOptions {
  readonly clusterKey: string
  readonly maxConnections?: number
}

export class ControlServer {
  readonly rpc: RpcServer
  private readonly _server: Server
  private readonly _handlers = new Map<string, PathHandler>()

  constructor (options: ControlServerOptions) {
    this.rpc = new RpcServer(options.clusterKey)
    this._handlers.set(RPC_PATH, (request, response) => this.rpc.handle(request, response))
    this._server = createServer({ keepAliveTimeout: KEEP_ALIVE_MS }, (request, response) => { void this._handle(request, response) })
    if (options.maxConnections !== undefined) this._server.maxConnections = options.maxConnections
  }

  /** Adds a handler for a path. */
  add (path: string, handler: PathHandler): void {
    this._handlers.set(path, handler)
  }

  /** Starts listening and returns the bound address. */
  open (address: string): Promise<string> {
    return openServer(this._server, address)
  }

  close (): Promise<void> {
    return closeServer(this._server)
  }

  private async _handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    request.on('error', () => {})
    response.on('error', () => {})
    const handler = this._handlers.get(request.url ?? '')
    if (handler === undefined) {
      sendJson(response, 404, { error: `no such path: ${request.url}` })
      return
    }
    try {
      await handler(request, response)
    } catch {
      response.destroy()
    }
  }
}
