/**
 * Reads and discards the rest of a body whose request has been answered, so that the client can finish writing and read the answer.
 */
import type { ClientConnection } from './clientConnection.js'
import type { ClientMessage } from './clientMessage.js'

/** Size below which parts are counted as if they had it, in bytes: each part costs some microseconds, however small it is. */
const MIN_PART_BYTES = 256

/** How much of a refused body is read and discarded: `maxBytes` bytes within `timeoutMs` milliseconds. */
export interface DiscardLimits {
  readonly maxBytes: number
  readonly timeoutMs: number
}

/** Discards the rest of a message, and drops the connection if it exceeds the limits. Calls `onEnd` once the message is complete. */
export function dropBody (connection: ClientConnection, message: ClientMessage, limits: DiscardLimits, onEnd: () => void): void {
  let bytes = 0
  const drop = (): void => connection.drop('bodyUnread')
  const timer = setTimeout(drop, limits.timeoutMs)
  message.on('data', (part: Buffer) => {
    connection.stream.countPart()
    bytes += Math.max(part.length, MIN_PART_BYTES)
    if (bytes > limits.maxBytes) drop()
  })
  message.on('end', onEnd)
  message.on('close', () => clearTimeout(timer))
  message.resume()
}
