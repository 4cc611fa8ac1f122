/**
 * Calls between processes within one process: the `PeerRpc` interface without sockets, with faults and a count of bytes.
 */
import { RpcMethods } from '@dragonflylever/protocol'
import type { PeerRpc, RpcHandler, RpcMethodName, RpcOutcome, RpcParams, RpcRegistry, RpcResultValue } from '@dragonflylever/protocol'

/** Calls and encoded bytes of one peer. */
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

/** Hears of the bytes of each request and answer. */
export type TrafficListener = (from: string, to: string, bytes: number) => void

export class MemoryPeers {
  private readonly _onTraffic: TrafficListener | undefined
  private readonly _peers = new Map<string, MemoryPeer>()
  private readonly _down = new Set<string>()
  private readonly _cuts = new Set<string>()

  constructor (onTraffic?: TrafficListener) {
    this._onTraffic = onTraffic
  }

  /** Returns the registry of the peer at an address. */
  open (address: string): RpcRegistry {
    return this._getPeer(address)
  }

  /** Returns the calls and bytes of a peer so far. */
  getTraffic (address: string): PeerTraffic {
    return this._getPeer(address).traffic
  }

  /** Takes a peer away or brings it back. */
  setDown (address: string, isDown: boolean): void {
    if (isDown) this._down.add(address)
    else this._down.delete(address)
  }

  /** Cuts or mends the way between two peers, both directions. */
  setCut (a: string, b: string, isCut: boolean): void {
    for (const pair of [`${a}>${b}`, `${b}>${a}`]) {
      if (isCut) this._cuts.add(pair)
      else this._cuts.delete(pair)
    }
  }

  /** Creates the caller's side of the peer at `from`. */
  createClient (from: string): PeerRpc {
    return {
      call: (to, method, params, timeoutMs) => this._call(from, to, method, params, timeoutMs),
      close: async () => {}
    }
  }

  private async _call<M extends RpcMethodName> (from: string, to: string, method: M, params: RpcParams<M>, timeoutMs: number): Promise<RpcOutcome<RpcResultValue<M>>> {
    const handler = this._peers.get(to)?.handlers.get(method)
    if (this._isCut(from, to) || handler === undefined) return this._fail(to, method, timeoutMs)
    const request = JSON.stringify(params)
    this._count(from, to, request.length)
    const checked = RpcMethods[method].params.safeParse(JSON.parse(request))
    if (!checked.success) return { kind: 'failed', message: `${method}: bad parameters` }
    const value = await handler(checked.data as never)
    if (this._isCut(from, to)) return this._fail(to, method, timeoutMs)
    const answer = JSON.stringify(value)
    this._count(to, from, answer.length)
    return { kind: 'ok', value: JSON.parse(answer) as RpcResultValue<M> }
  }

  private async _fail (to: string, method: string, timeoutMs: number): Promise<{ kind: 'failed', message: string }> {
    await new Promise(resolve => setTimeout(resolve, timeoutMs))
    return { kind: 'failed', message: `${method} at ${to}: no answer` }
  }

  private _isCut (from: string, to: string): boolean {
    return this._down.has(from) || this._down.has(to) || this._cuts.has(`${from}>${to}`)
  }

  private _count (from: string, to: string, bytes: number): void {
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
