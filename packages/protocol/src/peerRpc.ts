/**
 * Interfaces of the calls between processes, independent of the transport.
 */
import type { RpcMethodName, RpcOutcome, RpcParams, RpcResultValue } from './rpcMessages.js'

/** Calls methods of other processes. Never rejects. */
export interface PeerRpc {
  /** Calls a method at a control address (IP:PORT). The outcome is `failed` if there is no answer within `timeoutMs` milliseconds. */
  call<M extends RpcMethodName> (address: string, method: M, params: RpcParams<M>, timeoutMs: number): Promise<RpcOutcome<RpcResultValue<M>>>
  close (): Promise<void>
}

/** Handles calls of one method. The parameters are already validated. */
export type RpcHandler<M extends RpcMethodName> = (params: RpcParams<M>) => Promise<RpcResultValue<M>> | RpcResultValue<M>

/** Registry of the handlers of the methods that a process serves. */
export interface RpcRegistry {
  add<M extends RpcMethodName> (method: M, handler: RpcHandler<M>): void
}
