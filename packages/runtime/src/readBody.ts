/**
 * Reads the complete body of an HTTP message, up to a size limit. The bytes of a client's body are reserved before they are kept.
 */
import type { IncomingMessage } from 'node:http'

import { BodyBuffer } from './clients/bodyBuffer.js'
import { ClientMessage } from './clients/clientMessage.js'

/** Result of reading a body. `broken` means that the connection closed before the end of the body, `overloaded` that there is no room for it at present. */
export type ReadBodyResult =
  | { readonly kind: 'whole', readonly body: Buffer }
  | { readonly kind: 'broken' }
  | { readonly kind: 'tooLarge' }
  | { readonly kind: 'overloaded' }

/** Limits of {@link readBody}. */
export interface ReadBodyOptions {
  readonly maxBytes: number
}

/** Reads a complete body. A body that is announced as too large is not read. After `tooLarge` and `overloaded` the message is paused and the rest is not read. Never rejects. */
export function readBody (message: IncomingMessage, options: ReadBodyOptions): Promise<ReadBodyResult> {
  const lease = message instanceof ClientMessage ? message.lease : undefined
  const body = new BodyBuffer()
  return new Promise(resolve => {
    const settle = (result: ReadBodyResult): void => {
      message.off('data', onPart)
      message.off('end', onEnd)
      message.off('close', onClose)
      if (result.kind !== 'whole') lease?.dropBody()
      resolve(result)
    }
    const refuse = (kind: 'tooLarge' | 'overloaded'): void => {
      message.pause()
      lease?.countRefusal(kind)
      settle({ kind })
    }
    const onPart = (part: Buffer): void => {
      if (body.size + part.length > options.maxBytes) return refuse('tooLarge')
      const reserved = lease?.receivePart(body.computeGrowth(part.length)) ?? 'reserved'
      if (reserved === 'refused') return refuse('overloaded')
      if (reserved === 'reserved') body.add(part)
    }
    const onEnd = (): void => settle({ kind: 'whole', body: body.join() })
    const onClose = (): void => settle({ kind: 'broken' })
    if (Number(message.headers['content-length'] ?? 0) > options.maxBytes) return refuse('tooLarge')
    lease?.requestBody()
    message.on('data', onPart)
    message.on('end', onEnd)
    message.on('close', onClose)
  })
}
