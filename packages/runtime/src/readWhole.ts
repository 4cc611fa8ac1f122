/**
 * Reads the body of an HTTP message to its end, within a bound.
 */
import type { IncomingMessage } from 'node:http'

/** `broken`: the sender broke off before the end. */
export type WholeBody =
  | { readonly kind: 'whole', readonly body: Buffer }
  | { readonly kind: 'broken' }
  | { readonly kind: 'tooLarge' }

/** Bounds of a read. */
export interface ReadWholeOptions {
  readonly maxBytes: number
  /** Called with the size of each piece; false gives the read up as too large. */
  readonly onBytes?: (bytes: number) => boolean
}

const EMPTY = Buffer.alloc(0)

/** Reads a body whole. After `tooLarge` the rest of the body is not read. Never rejects. */
export function readWhole (message: IncomingMessage, options: ReadWholeOptions): Promise<WholeBody> {
  const chunks: Buffer[] = []
  let size = 0
  return new Promise(resolve => {
    const end = (result: WholeBody): void => {
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
      end({ kind: 'tooLarge' })
    }
    const onEnd = (): void => end({ kind: 'whole', body: joinChunks(chunks, size) })
    const onClose = (): void => end({ kind: 'broken' })
    message.on('data', onData)
    message.on('end', onEnd)
    message.on('close', onClose)
  })
}

function joinChunks (chunks: readonly Buffer[], size: number): Buffer {
  if (chunks.length === 1 && chunks[0] !== undefined) return chunks[0]
  return chunks.length === 0 ? EMPTY : Buffer.concat(chunks, size)
}
