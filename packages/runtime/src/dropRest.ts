/**
 * Reads and drops what is left of a refused message, so that its sender can finish writing and read the refusal.
 */
import type { IncomingMessage } from 'node:http'

/** Most bytes that are read for a refused message; four of the largest bodies that callers may send. */
const MAX_DROPPED_BYTES = 16 * 1024 * 1024

/** Drops the rest of a message; cuts a sender off that goes on beyond the bound. The server's request timeout bounds slow ones. */
export function dropRest (message: IncomingMessage): void {
  let dropped = 0
  message.on('data', (chunk: Buffer) => {
    dropped += chunk.length
    if (dropped > MAX_DROPPED_BYTES) message.destroy()
  })
  message.resume()
}
