/**
 * Reads and discards the rest of a refused message, so that the sender can finish writing and read the response.
 */
import type { IncomingMessage } from 'node:http'

/** Maximum number of bytes that are read from a refused message: four times the largest body that callers may send. */
const MAX_DRAINED_BYTES = 16 * 1024 * 1024

/** Discards the rest of a message and closes the connection if it exceeds the limit. The server's request timeout limits slow senders. */
export function drainBody (message: IncomingMessage): void {
  let dropped = 0
  message.on('data', (chunk: Buffer) => {
    dropped += chunk.length
    if (dropped > MAX_DRAINED_BYTES) message.destroy()
  })
  message.resume()
}
