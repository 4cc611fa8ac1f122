/**
 * Calls JSON-RPC methods of other processes over HTTP POST, one connection per peer.
 */
import { DispatchHeader, RPC_PATH, RpcMethods } from '@dragonflylever/protocol'
import type { PeerRpc, RpcMethodName, RpcOutcome, RpcParams, RpcResultValue } from '@dragonflylever/protocol'
import { createJSONRPCRequest, isJSONRPCResponse } from 'json-rpc-2.0'
import { Agent } from 'undici'

const KEEP_ALIVE_MS = 10_000

export class RpcClient implements PeerRpc {
  private readonly _agent = new Agent({ connections: 1, keepAliveTimeout: KEEP_ALIVE_MS })
  private readonly _clusterKey: string
  private _nextId = 1

  constructor (clusterKey: string) {
    this._clusterKey = clusterKey
  }

  async call<M extends RpcMethodName> (address: string, method: M, params: RpcParams<M>, timeoutMs: number): Promise<RpcOutcome<RpcResultValue<M>>> {
    try {
      const response = await this._agent.request({
        origin: `http://${address}`,
        path: RPC_PATH,
        method: 'POST',
        headers: { 'content-type': 'application/json', [DispatchHeader.clusterKey]: this._clusterKey },
        body: JSON.stringify(createJSONRPCRequest(this._nextId++, method, params)),
        signal: AbortSignal.timeout(timeoutMs)
      })
      return parseAnswer(method, await response.body.json())
    } catch (error) {
      return { kind: 'failed', message: `${method} at ${address}: ${(error as Error).message}` }
    }
  }

  async close (): Promise<void> {
    await this._agent.destroy()
  }
}

function parseAnswer<M extends RpcMethodName> (method: M, answer: unknown): RpcOutcome<RpcResultValue<M>> {
  if (!isJSONRPCResponse(answer)) return { kind: 'failed', message: `${method}: the answer is not JSON-RPC 2.0` }
  if (answer.error !== undefined) return { kind: 'failed', message: `${method}: ${answer.error.message}` }
  const checked = RpcMethods[method].result.safeParse(answer.result)
  if (!checked.success) return { kind: 'failed', message: `${method}: bad result: ${checked.error.issues[0]?.message}` }
  return { kind: 'ok', value: checked.data as RpcResultValue<M> }
}
