/**
 * A client's request that knows what is reserved for it.
 */
import { IncomingMessage } from 'node:http'

import type { RequestLease } from './requestLease.js'

export class ClientMessage extends IncomingMessage {
  /** Reservation of the request; absent if its connection was dropped before the request arrived. */
  lease: RequestLease | undefined
}
