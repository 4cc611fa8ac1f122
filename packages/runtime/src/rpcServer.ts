/**
 * JSON-RPC server over HTTP POST for calls from other processes.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'

import { MAX_CALL_BYTES, RpcMethods, DispatchHeader, isBoundedJson, parseJson } from '@dragonflylever/protocol'
import type { RpcHandler, RpcMethodName, RpcParams, RpcRegistry } from '@dragonflylever/protocol'
import { JSONRPCErrorCode, JSONRPCErrorException, JSONRPCServer, isJSONRPCRequest } from 'json-rpc-2.0'

import { isSameKey } from './compareKeys.js'
import { readBody } from './readBody.js'

export class RpcServer implements RpcRegistry {
  private readonly _server = new JSONRPCServer({ errorListener: () => {} })
  private readonly _clusterKey: string

  constructor (clusterKey: string) {
    this._clusterKey = clusterKey
  }

  add<M extends RpcMethodName> (method: M, handler: RpcHandler<M>): void {
    this._server.addMethod(method, async (params: unknown) => {
      const checked = RpcMethods[method].params.safeParse(params)
      if (!checked.success) throw new JSONRPCErrorException(`bad parameters of ${method}: ${checked.error.issues[0]?.message}`, JSONRPCErrorCode.InvalidParams)
      return handler(checked.data as RpcParams<M>)
    })
  }

  /** Performs the JSON-RPC call in an HTTP request and sends the response, or an error if the cluster key or the body is invalid. */
  async handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (!isSameKey(request.headers[DispatchHeader.clusterKey]?.toString(), this._clusterKey)) {
      sendJson(response, 401, { error: 'the cluster key is missing or wrong' })
      return
    }
    const read = await readBody(request, { maxBytes: MAX_CALL_BYTES })
    if (read.kind === 'broken') return
    if (read.kind === 'tooLarge') {
      sendJson(response, 413, { error: `a call is at most ${MAX_CALL_BYTES} bytes` })
      return
    }
    if (read.kind === 'overloaded') {
      sendJson(response, 503, { error: 'this process holds as many requests as it may; try again shortly' })
      return
    }
    const call = isBoundedJson(read.body) ? parseJson(read.body.toString('utf8')) : undefined
    if (!isJSONRPCRequest(call)) {
      sendJson(response, 400, { error: 'expected a JSON-RPC 2.0 request' })
      return
    }
    sendJson(response, 200, await this._server.receive(call))
  }
}

/** Ends a response with a status and a value as JSON. */
export function sendJson (response: ServerResponse, status: number, value: unknown): void {
  const body = Buffer.from(JSON.stringify(value))
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': body.length })
  response.end(body)
}
