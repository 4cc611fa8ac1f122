/**
 * In-process implementation of `PeerRpc` for calls between simulated processes: without sockets, with fault injection and byte counts.
 */
import { RpcMethods } from '@dragonflylever/protocol'
import type { PeerRpc, RpcHandler, RpcMethodName, RpcOutcome, RpcParams, RpcRegistry, RpcResultValue } from '@dragonflylever/protocol'

/** Number of messages (requests and answers) that a peer has sent, and the sizes of the messages that it has sent and received, in encoded bytes. */
export interface PeerTraffic {
  calls: number
  sentBytes: number
  receivedBytes: number
}

class MemoryPeer implements RpcRegistry {
  readonly handlers = new Map<RpcMethodName, RpcHandler<RpcMethodName>>()
  readonly traffic: PeerTraffic = { calls: 0, sentBytes: 0, receivedBytes: 0 }

  add<M extends RpcMethodName> (method: M, handler: RpcHandler<M>): void {
    this.handlers.set(method, handler as unknown as RpcHandler<RpcMethodName>)
  }
}

/** Called with the sender, the receiver and the encoded size of each request and each answer. */
export type TrafficListener = (from: string, to: string, bytes: number) => void

export class MemoryPeers {
  private readonly _onTraffic: TrafficListener | undefined
  private readonly _peers = new Map<string, MemoryPeer>()
  private readonly _downPeers = new Set<string>()
  private readonly _downLinks = new Set<string>()

  constructor (onTraffic?: TrafficListener) {
    this._onTraffic = onTraffic
  }

  /** Returns the registry in which the peer at an address registers its RPC handlers. */
  open (address: string): RpcRegistry {
    return this._getPeer(address)
  }

  /** Returns the traffic of a peer so far. */
  getTraffic (address: string): PeerTraffic {
    return this._getPeer(address).traffic
  }

  /** Makes a peer unreachable or reachable again. */
  setPeerDown (address: string, isDown: boolean): void {
    if (isDown) this._downPeers.add(address)
    else this._downPeers.delete(address)
  }

  /** Disconnects or reconnects two peers, in both directions. */
  setLinkDown (a: string, b: string, isDown: boolean): void {
    for (const link of [`${a}>${b}`, `${b}>${a}`]) {
      if (isDown) this._downLinks.add(link)
      else this._downLinks.delete(link)
    }
  }

  /** Creates the client with which the peer at address `from` calls other peers. */
  createClient (from: string): PeerRpc {
    return {
      call: (to, method, params, timeoutMs) => this._call(from, to, method, params, timeoutMs),
      close: async () => {}
    }
  }

  private async _call<M extends RpcMethodName> (from: string, to: string, method: M, params: RpcParams<M>, timeoutMs: number): Promise<RpcOutcome<RpcResultValue<M>>> {
    const handler = this._peers.get(to)?.handlers.get(method)
    if (this._isUnreachable(from, to) || handler === undefined) return this._failAfterTimeout(to, method, timeoutMs)
    const request = JSON.stringify(params)
    this._recordTraffic(from, to, request.length)
    const checked = RpcMethods[method].params.safeParse(JSON.parse(request))
    if (!checked.success) return { kind: 'failed', message: `${method}: bad parameters` }
    const value = await handler(checked.data as never)
    if (this._isUnreachable(from, to)) return this._failAfterTimeout(to, method, timeoutMs)
    const answer = JSON.stringify(value)
    this._recordTraffic(to, from, answer.length)
    return { kind: 'ok', value: JSON.parse(answer) as RpcResultValue<M> }
  }

  private async _failAfterTimeout (to: string, method: string, timeoutMs: number): Promise<{ kind: 'failed', message: string }> {
    await new Promise(resolve => setTimeout(resolve, timeoutMs))
    return { kind: 'failed', message: `${method} at ${to}: no answer` }
  }

  private _isUnreachable (from: string, to: string): boolean {
    return this._downPeers.has(from) || this._downPeers.has(to) || this._downLinks.has(`${from}>${to}`)
  }

  private _recordTraffic (from: string, to: string, bytes: number): void {
    const sender = this._getPeer(from).traffic
    sender.calls++
    sender.sentBytes += bytes
    this._getPeer(to).traffic.receivedBytes += bytes
    this._onTraffic?.(from, to, bytes)
  }

  private _getPeer (address: string): MemoryPeer {
    const peer = this._peers.get(address) ?? new MemoryPeer()
    this._peers.set(address, peer)
    return peer
  }
}
