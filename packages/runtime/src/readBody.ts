/**
 * Reads the complete body of an HTTP message, up to a size limit.
 */
import type { IncomingMessage } from 'node:http'

/** Result of reading a body. `broken` means that the connection closed before the end of the body. */
export type ReadBodyResult =
  | { readonly kind: 'whole', readonly body: Buffer }
  | { readonly kind: 'broken' }
  | { readonly kind: 'tooLarge' }

/** Limits of {@link readBody}. */
export interface ReadBodyOptions {
  readonly maxBytes: number
  /** Called with the size of each chunk, in bytes. If it returns false, reading ends with the result `tooLarge`. */
  readonly onBytes?: (bytes: number) => boolean
}

const EMPTY = Buffer.alloc(0)

/** Reads a complete body. After `tooLarge` the message is paused and the rest is not read. Never rejects. */
export function readBody (message: IncomingMessage, options: ReadBodyOptions): Promise<ReadBodyResult> {
  const chunks: Buffer[] = []
  let size = 0
  return new Promise(resolve => {
    const settle = (result: ReadBodyResult): void => {
      message.off('data', onData)
      message.off('end', onEnd)
      message.off('close', onClose)
      resolve(result)
    }
    const onData = (chunk: Buffer): void => {
      size += chunk.length
      chunks.push(chunk)
      const isAllowed = size <= options.maxBytes && (options.onBytes?.(chunk.length) ?? true)
      if (isAllowed) return
      message.pause()
      settle({ kind: 'tooLarge' })
    }
    const onEnd = (): void => settle({ kind: 'whole', body: joinChunks(chunks, size) })
    const onClose = (): void => settle({ kind: 'broken' })
    message.on('data', onData)
    message.on('end', onEnd)
    message.on('close', onClose)
  })
}

function joinChunks (chunks: readonly Buffer[], size: number): Buffer {
  if (chunks.length === 1 && chunks[0] !== undefined) return chunks[0]
  return chunks.length === 0 ? EMPTY : Buffer.concat(chunks, size)
}
