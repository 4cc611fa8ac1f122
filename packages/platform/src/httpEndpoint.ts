/**
 * Endpoint over HTTP/1.1. Takes an answer as whole only when the framing says where it ends.
 */
import type { HeaderList } from '@dragonflylever/core'
import { CallerLimit } from '@dragonflylever/protocol'
import { Pool } from 'undici'
import type { Dispatcher } from 'undici'

import { describeCallFailure } from './notSent.js'
import type { Endpoint, EndpointOutcome, EndpointRequest } from './endpoint.js'

const CONNECT_TIMEOUT_MS = 1_000
const BODILESS_STATUS = new Set([204, 304])

/** Where the endpoint listens and how many connections it allows. */
export interface HttpEndpointOptions {
  readonly url: string
  readonly connections: number
}

export class HttpEndpoint implements Endpoint {
  private readonly _pool: Pool

  constructor (options: HttpEndpointOptions) {
    this._pool = new Pool(options.url, {
      connections: options.connections,
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: { timeout: CONNECT_TIMEOUT_MS }
    })
  }

  async send (request: EndpointRequest, signal: AbortSignal): Promise<EndpointOutcome> {
    try {
      const response = await this._pool.request({
        method: request.method as Dispatcher.HttpMethod,
        path: request.path,
        headers: request.headers.flatMap(([name, value]) => [name, value]),
        body: request.body.length > 0 ? request.body : null,
        signal
      })
      return await readAnswer(request.method, response)
    } catch (error) {
      return describeError(error)
    }
  }

  async close (): Promise<void> {
    await this._pool.destroy()
  }
}

async function readAnswer (method: string, response: Dispatcher.ResponseData): Promise<EndpointOutcome> {
  if (!hasFraming(method, response)) {
    response.body.destroy()
    return { kind: 'lost', message: 'the endpoint framed its answer neither by length nor by chunks' }
  }
  const chunks: Buffer[] = []
  let size = 0
  for await (const chunk of response.body) {
    size += (chunk as Buffer).length
    if (size > CallerLimit.answerBodyBytes) {
      response.body.destroy()
      return { kind: 'tooLarge', message: `the answer is larger than ${CallerLimit.answerBodyBytes} bytes` }
    }
    chunks.push(chunk as Buffer)
  }
  return { kind: 'answered', answer: { status: response.statusCode, headers: listHeaders(response.headers), body: Buffer.concat(chunks, size) } }
}

function hasFraming (method: string, response: Dispatcher.ResponseData): boolean {
  if (method === 'HEAD' || BODILESS_STATUS.has(response.statusCode)) return true
  return response.headers['content-length'] !== undefined || response.headers['transfer-encoding'] !== undefined
}

/** Turns undici's header record into pairs. */
export function listHeaders (headers: Record<string, string | string[] | undefined>): HeaderList {
  const pairs: Array<readonly [string, string]> = []
  for (const [name, value] of Object.entries(headers)) {
    const values = Array.isArray(value) ? value : [value]
    for (const one of values) if (one !== undefined) pairs.push([name, one])
  }
  return pairs
}

function describeError (error: unknown): EndpointOutcome {
  const { isNotSent, message } = describeCallFailure(error)
  return { kind: isNotSent ? 'notSent' : 'lost', message }
}
