/**
 * {@link Endpoint} over HTTP/1.1. An answer counts as complete only if its framing (content length or chunks) marks its end. An aborted request
 * resolves only once the endpoint has closed its side of the connection, so that its slot is not reused while the endpoint still works on it.
 */
import { Agent } from 'node:http'
import type { IncomingHttpHeaders, IncomingMessage } from 'node:http'

import type { HeaderList } from '@dragonflylever/core'
import { CallerLimit } from '@dragonflylever/protocol'

import type { Endpoint, EndpointOutcome, EndpointRequest } from './endpoint.js'
import { EndpointConnection } from './endpointConnection.js'

const BODYLESS_STATUSES = new Set([204, 304])

/** URL of the endpoint and the maximum number of connections to it. */
export interface HttpEndpointOptions {
  readonly url: string
  readonly connections: number
}

export class HttpEndpoint implements Endpoint {
  private readonly _agent: Agent
  private readonly _url: URL

  constructor (options: HttpEndpointOptions) {
    this._url = new URL(options.url)
    this._agent = new Agent({ keepAlive: true, maxSockets: options.connections })
  }

  async send (request: EndpointRequest, signal: AbortSignal): Promise<EndpointOutcome> {
    const connection = new EndpointConnection({
      agent: this._agent,
      host: this._url.hostname,
      port: this._url.port,
      method: request.method,
      path: request.path,
      headers: makeHeaders(request)
    }, request.body)
    try {
      const outcome = await readAnswer(request.method, await connection.readHead(signal), signal)
      if (outcome.kind !== 'answered') await connection.abortRequest()
      return outcome
    } catch (error) {
      const { isNotSent } = connection
      await connection.abortRequest()
      return { kind: isNotSent ? 'notSent' : 'lost', message: (error as Error).message }
    }
  }

  async close (): Promise<void> {
    this._agent.destroy()
  }
}

function makeHeaders (request: EndpointRequest): Record<string, string[] | string> {
  const headers: Record<string, string[] | string> = {}
  for (const [name, value] of request.headers) {
    const existing = headers[name]
    headers[name] = existing === undefined ? value : [existing, value].flat()
  }
  if (request.body.length > 0) headers['content-length'] = String(request.body.length)
  return headers
}

async function readAnswer (method: string, response: IncomingMessage, signal: AbortSignal): Promise<EndpointOutcome> {
  const status = response.statusCode ?? 0
  if (!hasBodyFraming(method, response, status)) return { kind: 'lost', message: 'the endpoint framed its answer neither by length nor by chunks' }
  const chunks: Buffer[] = []
  let size = 0
  for await (const chunk of response.iterator({ destroyOnReturn: false })) {
    if (signal.aborted) return { kind: 'lost', message: 'the request was aborted while its answer was read' }
    size += (chunk as Buffer).length
    if (size > CallerLimit.answerBodyBytes) return { kind: 'tooLarge', message: `the answer is larger than ${CallerLimit.answerBodyBytes} bytes` }
    chunks.push(chunk as Buffer)
  }
  return { kind: 'answered', answer: { status, headers: listHeaders(response.headers), body: Buffer.concat(chunks, size) } }
}

function hasBodyFraming (method: string, response: IncomingMessage, status: number): boolean {
  if (method === 'HEAD' || BODYLESS_STATUSES.has(status)) return true
  return response.headers['content-length'] !== undefined || response.headers['transfer-encoding'] !== undefined
}

/** Converts Node's record of headers to a list of name and value pairs, one pair per value. */
export function listHeaders (headers: IncomingHttpHeaders): HeaderList {
  const pairs: Array<readonly [string, string]> = []
  for (const [name, value] of Object.entries(headers)) {
    const values = Array.isArray(value) ? value : [value]
    for (const item of values) if (item !== undefined) pairs.push([name, item])
  }
  return pairs
}
