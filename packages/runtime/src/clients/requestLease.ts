/**
 * What is reserved for one request, from its head until its answer has been sent or its connection has closed.
 */
import type { ServerResponse } from 'node:http'

import type { ClientConnection } from './clientConnection.js'
import type { ClientMessage } from './clientMessage.js'

/** Result of a reservation: `refused` if there is no room for the request, `dropped` if its connection has been closed. */
export type ReserveResult = 'reserved' | 'refused' | 'dropped'

export class RequestLease {
  readonly startedAt: number
  readonly message: ClientMessage
  readonly response: ServerResponse
  private readonly _connection: ClientConnection
  private _parts = 0
  private _requestBytes = 0
  private _bodyBytes = 0
  private _isEnded = false

  constructor (connection: ClientConnection, message: ClientMessage, response: ServerResponse) {
    this._connection = connection
    this.message = message
    this.response = response
    this.startedAt = connection.progressAt
  }

  /** True while the request is carried out: all of it was read, and its answer is not complete. */
  get isServing (): boolean {
    return this.message.complete && !this.response.writableEnded
  }

  /** Tells a client that waits for it to send its body. */
  requestBody (): void {
    if (this.message.headers.expect !== undefined && !this.response.headersSent) this.response.writeContinue()
  }

  /** Records a part of the body, and reserves the bytes that keeping it takes. A client whose body comes in too many parts loses its connection. */
  receivePart (bytes: number): ReserveResult {
    if (!this._connection.recordPart(++this._parts)) return 'dropped'
    const result = this._reserve(bytes)
    if (result === 'reserved') this._bodyBytes += bytes
    return result
  }

  /** Reserves bytes for the request itself or its answer. */
  reserve (bytes: number): ReserveResult {
    const result = this._reserve(bytes)
    if (result === 'reserved') this._requestBytes += bytes
    return result
  }

  /** Releases the bytes of a body that is not kept. */
  dropBody (): void {
    this._connection.release(this._bodyBytes)
    this._bodyBytes = 0
  }

  /** Counts the cause for which the request is refused. */
  countRefusal (cause: string): void {
    this._connection.countCause('refused', cause)
  }

  /** Releases everything that is reserved for the request. */
  end (): void {
    this._isEnded = true
    this.dropBody()
    this._connection.release(this._requestBytes)
    this._requestBytes = 0
  }

  private _reserve (bytes: number): ReserveResult {
    return this._isEnded ? 'dropped' : this._connection.reserve(bytes)
  }
}
