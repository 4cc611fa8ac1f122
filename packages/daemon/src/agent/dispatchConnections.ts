/**
 * Shares an agent's connections among the entries that send it dispatches. Some connections are reserved for control calls such as withdrawals,
 * and at the limit an idle connection of the entry with the most connections is closed in favour of an entry with fewer.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'

import { DispatchHeader } from '@dragonflylever/protocol'

import type { DispatchHandler } from './dispatchHandler.js'

/** Number of the server's connections that are reserved for control calls. */
const CONTROL_CONNECTIONS = 12

/** Options of {@link DispatchConnections}; `handler` serves the dispatches on connections within the limit. */
export interface DispatchConnectionsOptions {
  /** Maximum number of connections of the agent's control server, those reserved for control calls included. */
  readonly maxConnections: number
  readonly handler: DispatchHandler
}

export class DispatchConnections {
  private readonly _options: DispatchConnectionsOptions
  private readonly _limit: number
  /** Open connections that have carried a dispatch, each with the id of its entry. */
  private readonly _entryIds = new Map<Socket, string>()
  private readonly _busy = new Set<Socket>()

  constructor (options: DispatchConnectionsOptions) {
    this._options = options
    this._limit = Math.max(1, options.maxConnections - CONTROL_CONNECTIONS)
  }

  /** Serves a dispatch, or refuses it when the connection is new, the limit is reached and no idle connection can be closed. */
  async handle (message: IncomingMessage, response: ServerResponse): Promise<void> {
    const { socket } = message
    const isAdmitted = this._entryIds.has(socket) || this._acceptSocket(socket, String(message.headers[DispatchHeader.entryId] ?? ''))
    if (!isAdmitted) return this._options.handler.refuse(message, response)
    this._busy.add(socket)
    try {
      await this._options.handler.handle(message, response)
    } finally {
      this._busy.delete(socket)
    }
  }

  private _acceptSocket (socket: Socket, entryId: string): boolean {
    if (this._entryIds.size >= this._limit && !this._closeIdleConnection(entryId)) return false
    this._entryIds.set(socket, entryId)
    socket.once('close', () => {
      this._entryIds.delete(socket)
      this._busy.delete(socket)
    })
    return true
  }

  /**
   * Closes an idle connection of the entry with the most connections. Returns false when no entry with an idle connection has at least two
   * connections more than the requesting entry.
   */
  private _closeIdleConnection (entryId: string): boolean {
    const counts = new Map<string, number>()
    for (const entry of this._entryIds.values()) counts.set(entry, (counts.get(entry) ?? 0) + 1)
    const ownCount = counts.get(entryId) ?? 0
    const idle = [...this._entryIds].filter(([socket, entry]) => !this._busy.has(socket) && (counts.get(entry) ?? 0) > ownCount + 1)
    const [selected] = idle.sort((a, b) => (counts.get(b[1]) ?? 0) - (counts.get(a[1]) ?? 0))
    if (selected === undefined) return false
    this._entryIds.delete(selected[0])
    selected[0].end()
    return true
  }
}
