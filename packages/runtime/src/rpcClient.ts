/**
 * JSON-RPC client over HTTP POST for calls to other processes.
 */
import { DispatchHeader, RPC_PATH, RpcMethods, parseJson } from '@dragonflylever/protocol'
import type { PeerRpc, RpcMethodName, RpcOutcome, RpcParams, RpcResultValue } from '@dragonflylever/protocol'
import { JSONRPCErrorCode, createJSONRPCRequest, isJSONRPCResponse } from 'json-rpc-2.0'

import { HttpClient } from './httpClient.js'

/** Maximum size of a peer's response. The largest response, the member list of a failure domain, is well below it. */
const MAX_ANSWER_BYTES = 8 * 1024 * 1024
/** HTTP statuses by which a peer refuses a call for its contents: it is malformed, or too large. */
const REFUSED_STATUSES: ReadonlySet<number> = new Set([400, 413])
/** Maximum length of the part of a refusal that is logged, in characters. */
const MAX_MESSAGE_LENGTH = 200
/** Maximum number of connections to one peer: one for a long poll and one for other calls. */
const MAX_CONNECTIONS_PER_PEER = 2

export class RpcClient implements PeerRpc {
  private readonly _client = new HttpClient({ maxConnections: MAX_CONNECTIONS_PER_PEER, maxAnswerBytes: MAX_ANSWER_BYTES })
  private readonly _clusterKey: string
  private _nextId = 1

  constructor (clusterKey: string) {
    this._clusterKey = clusterKey
  }

  async call<M extends RpcMethodName> (address: string, method: M, params: RpcParams<M>, timeoutMs: number): Promise<RpcOutcome<RpcResultValue<M>>> {
    const outcome = await this._client.call({
      address,
      method: 'POST',
      path: RPC_PATH,
      headers: { [DispatchHeader.clusterKey]: this._clusterKey },
      body: JSON.stringify(createJSONRPCRequest(this._nextId++, method, params)),
      timeoutMs
    })
    if (outcome.kind !== 'answered') return { kind: 'failed', message: `${method}: ${outcome.message}` }
    if (REFUSED_STATUSES.has(outcome.status)) return { kind: 'failed', message: `${method}: refused with ${outcome.status}: ${outcome.body.slice(0, MAX_MESSAGE_LENGTH)}`, isRefused: true }
    return parseAnswer(method, outcome.body)
  }

  async close (): Promise<void> {
    this._client.close()
  }
}

function parseAnswer<M extends RpcMethodName> (method: M, body: string): RpcOutcome<RpcResultValue<M>> {
  const answer = parseJson(body)
  if (!isJSONRPCResponse(answer)) return { kind: 'failed', message: `${method}: the answer is not JSON-RPC 2.0` }
  if (answer.error !== undefined) return { kind: 'failed', message: `${method}: ${answer.error.message}`, isRefused: answer.error.code === JSONRPCErrorCode.InvalidParams }
  const checked = RpcMethods[method].result.safeParse(answer.result)
  if (!checked.success) return { kind: 'failed', message: `${method}: bad result: ${checked.error.issues[0]?.message}` }
  return { kind: 'ok', value: checked.data as RpcResultValue<M> }
}
