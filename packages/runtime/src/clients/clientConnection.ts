/**
 * A connection of a client: its requests in flight, the bytes that are held for it, and whether it is read.
 */
import type { ServerResponse } from 'node:http'
import type { Socket } from 'node:net'

import type { ByteHolder } from './byteBudget.js'
import type { ClientLimits } from './clientLimits.js'
import type { ClientMessage } from './clientMessage.js'
import { ClientStream } from './clientStream.js'
import type { ReadScheduler } from './readScheduler.js'
import { RequestLease } from './requestLease.js'
import type { ReserveResult } from './requestLease.js'

/** Bytes reserved for a request in flight: Node's objects for it and a small answer. */
const REQUEST_BYTES = 4 * 1024
/** Share of the allowed requests in flight above which a connection is not read until some are answered. */
const PAUSE_SHARE = 0.25

/** What happens to clients outside the limits; part of the names of the counters. */
export type ClientEvent = 'dropped' | 'refused'

/** What a connection needs of its guard. */
export interface ConnectionOwner {
  readonly limits: ClientLimits
  readonly scheduler: ReadScheduler
  /** Reserves bytes for a connection, and drops others for it if need be. Returns false if there is no room, or if the connection itself is the first that would have to be dropped. */
  readonly reserveBytes: (connection: ClientConnection, bytes: number) => boolean
  readonly releaseBytes: (bytes: number) => void
  /** Called for each part of a body; may hold the connection. */
  readonly onPart: (connection: ClientConnection) => void
  readonly countCause: (event: ClientEvent, port: string, cause: string) => void
}

export class ClientConnection implements ByteHolder {
  readonly port: string
  /** The connection as Node's HTTP server sees it. */
  readonly stream: ClientStream
  private readonly _owner: ConnectionOwner
  private readonly _leases = new Set<RequestLease>()
  /** Reasons for which the connection is not read. */
  private readonly _holds = new Set<string>()
  private _headBytes = 0
  private _heldBytes = 0
  private _progressAt = performance.now()
  private _idleSince = this._progressAt
  private _isClosed = false

  constructor (port: string, socket: Socket, owner: ConnectionOwner) {
    this.port = port
    this._owner = owner
    this.stream = new ClientStream({
      socket,
      scheduler: owner.scheduler,
      reserveInput: bytes => this._reserveInput(bytes),
      releaseInput: bytes => this.release(bytes)
    })
  }

  get heldBytes (): number {
    return this._heldBytes
  }

  get progressAt (): number {
    return this._progressAt
  }

  get busySince (): number {
    const [oldest] = this._leases
    return oldest?.startedAt ?? this._idleSince
  }

  get isDroppable (): boolean {
    for (const lease of this._leases) if (lease.isServing) return false
    return !this._isClosed
  }

  get isClosed (): boolean {
    return this._isClosed
  }

  /** Requests that are being read, carried out or answered, in the order of their arrival. */
  get requests (): ReadonlySet<RequestLease> {
    return this._leases
  }

  /** Reserves the bytes that the head of a request may take. The connection is dropped if there is no room. */
  open (): void {
    const { maxHeaderBytes } = this._owner.limits
    if (!this._owner.reserveBytes(this, maxHeaderBytes)) return this.drop('heldBytes')
    this._headBytes = maxHeaderBytes
  }

  /** Starts a request; returns undefined if the connection had to be dropped. */
  beginRequest (message: ClientMessage, response: ServerResponse): RequestLease | undefined {
    this.stream.countRequest()
    this._progressAt = performance.now()
    const lease = new RequestLease(this, message, response)
    const isAllowed = this._leases.size < this._owner.limits.maxRequestsInFlight
    if (!isAllowed || lease.reserve(REQUEST_BYTES) !== 'reserved') {
      this.drop(isAllowed ? 'heldBytes' : 'requestsInFlight')
      return undefined
    }
    this._leases.add(lease)
    if (this._isAhead()) this.hold('requestsInFlight')
    return lease
  }

  /** Ends a request whose answer has been sent. */
  endRequest (lease: RequestLease): void {
    lease.end()
    if (!this._leases.delete(lease)) return
    this._progressAt = performance.now()
    if (this._leases.size === 0) this._idleSince = this._progressAt
    if (!this._isAhead()) this.resume('requestsInFlight')
  }

  /** Records a part of a body. Returns false, and drops the connection, if the body has come in too many parts. */
  recordPart (parts: number): boolean {
    if (this._isClosed) return false
    this.stream.countPart()
    if (parts > this._owner.limits.maxBodyParts) {
      this.drop('bodyParts')
      return false
    }
    this._progressAt = performance.now()
    this._owner.onPart(this)
    return true
  }

  /** Stops reading, after the slice that is being read, for a reason until {@link resume} is called for it. */
  hold (reason: string): void {
    this._holds.add(reason)
    this.stream.setHeld(true)
  }

  resume (reason: string): void {
    if (this._holds.delete(reason) && this._holds.size === 0) this.stream.setHeld(false)
  }

  reserve (bytes: number): ReserveResult {
    if (this._isClosed) return 'dropped'
    if (!this._owner.reserveBytes(this, bytes)) return 'refused'
    this._heldBytes += bytes
    return 'reserved'
  }

  release (bytes: number): void {
    this._heldBytes -= bytes
    this._owner.releaseBytes(bytes)
  }

  countCause (event: ClientEvent, cause: string): void {
    this._owner.countCause(event, this.port, cause)
  }

  /** Closes the connection without an answer and counts the cause. */
  drop (cause: string): void {
    if (this._isClosed) return
    this.countCause('dropped', cause)
    this.end()
    this.stream.destroy()
  }

  /** Releases everything that is held for the connection. */
  end (): void {
    this._isClosed = true
    for (const lease of this._leases) lease.end()
    this._leases.clear()
    this.stream.dropInput()
    this._owner.releaseBytes(this._headBytes)
    this._headBytes = 0
  }

  private _reserveInput (bytes: number): boolean {
    this._progressAt = performance.now()
    if (this.reserve(bytes) === 'reserved') return true
    this.drop('heldBytes')
    return false
  }

  private _isAhead (): boolean {
    return this._leases.size > this._owner.limits.maxRequestsInFlight * PAUSE_SHARE
  }
}
