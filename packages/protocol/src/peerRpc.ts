/**
 * Calls between the system's processes, apart from how they travel.
 */
import type { RpcMethodName, RpcOutcome, RpcParams, RpcResultValue } from './rpcMessages.js'

/** Calls methods of other processes. Never rejects. */
export interface PeerRpc {
  /** Calls a method at a control address (IP:PORT); gives up after `timeoutMs` milliseconds. */
  call<M extends RpcMethodName> (address: string, method: M, params: RpcParams<M>, timeoutMs: number): Promise<RpcOutcome<RpcResultValue<M>>>
  close (): Promise<void>
}

/** Handles one method; the parameters are already checked. */
export type RpcHandler<M extends RpcMethodName> = (params: RpcParams<M>) => Promise<RpcResultValue<M>> | RpcResultValue<M>

/** Takes handlers for the methods that a process serves. */
export interface RpcRegistry {
  add<M extends RpcMethodName> (method: M, handler: RpcHandler<M>): void
}
