/**
 * The HTTP server of a process for other processes: serves JSON-RPC calls and, on an agent, dispatches.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'

import { RPC_PATH } from '@dragonflylever/protocol'
import { RpcServer, closeServer, openServer, sendJson } from '@dragonflylever/runtime'
import type { ClientGuard, Logger, RequestHandler } from '@dragonflylever/runtime'

const KEEP_ALIVE_MS = 65_000

/** Options of {@link ControlServer}; only the guard limits the number of connections when `maxConnections` is absent. */
export interface ControlServerOptions {
  readonly clusterKey: string
  readonly maxConnections?: number
  readonly guard: ClientGuard
  readonly logger: Logger
}

export class ControlServer {
  readonly rpc: RpcServer
  private readonly _server: Server
  private readonly _handlers = new Map<string, RequestHandler>()

  constructor (options: ControlServerOptions) {
    this.rpc = new RpcServer(options.clusterKey)
    this._handlers.set(RPC_PATH, (request, response) => this.rpc.handle(request, response))
    this._server = options.guard.createServer({ port: 'control', logger: options.logger, handle: (request, response) => this._handleRequest(request, response), limits: { idleTimeoutMs: KEEP_ALIVE_MS } })
    if (options.maxConnections !== undefined) this._server.maxConnections = options.maxConnections
  }

  /** Adds the handler for the requests to a path. */
  add (path: string, handler: RequestHandler): void {
    this._handlers.set(path, handler)
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
    const handler = this._handlers.get(request.url ?? '')
    if (handler === undefined) {
      sendJson(response, 404, { error: `no such path: ${request.url}` })
      return
    }
    await handler(request, response)
  }
}
