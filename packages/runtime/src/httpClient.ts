/**
 * HTTP client with keep-alive connections. It uses Node's own client, which takes a quarter of undici's memory and less than half
 * of its processor time for the frequent small calls of an agent. Every call has a timeout, after which its connection is
 * destroyed, so that an unresponsive connection is never reused. An answer of unknown size may be given limits of its own, which bound silence rather than size. Idle connections to the same server are destroyed with it: what silenced one, such as a lost
 * route, may have silenced all of them, and each would cost another call its whole timeout.
 */
import { Agent, request as openRequest } from 'node:http'
import type { ClientRequest, IncomingHttpHeaders, RequestOptions } from 'node:http'

import { isPort } from '@dragonflylever/protocol'

import { parseAddress } from './httpServer.js'
import { readBody } from './readBody.js'

/** Limits of the transfer of an answer, in milliseconds: from one part of its body to the next, and from the first part to the end. */
export interface TransferLimits {
  readonly maxGapMs: number
  readonly maxMs: number
}

/** One HTTP call. */
export interface HttpCall {
  /** Address of the server as IP:PORT. */
  readonly address: string
  readonly method: 'GET' | 'POST' | 'DELETE'
  readonly path: string
  readonly headers?: Readonly<Record<string, string>>
  /** Request body as JSON text; absent for a call without a body. */
  readonly body?: string
  /** Timeout of the whole call, in milliseconds; with `transfer`, of the time until the first part of the answer's body arrives. */
  readonly timeoutMs: number
  /** Limits of the transfer of an answer that may be too large for a fixed timeout. */
  readonly transfer?: TransferLimits
  /** Called with each part of the body of the answer as it arrives, and the status of the answer. */
  readonly onPart?: (part: Buffer, status: number) => void
  /** True if the server may keep the call waiting for as long as the timeout, so that its silence until then means nothing. */
  readonly isLongPoll?: boolean
  /** Aborts the call. */
  readonly signal?: AbortSignal
}

/** Outcome of a call. `notSent` guarantees that the server received nothing. After `lost` the server may have acted on the call, or may still do so. */
export type HttpOutcome =
  | { readonly kind: 'answered', readonly status: number, readonly headers: IncomingHttpHeaders, readonly body: string }
  /** `isRefused` is true if no process listens at the address, and false if the connection failed for another reason. */
  | { readonly kind: 'notSent', readonly message: string, readonly isRefused: boolean }
  | { readonly kind: 'lost', readonly message: string }

/** Limits of a {@link HttpClient}. */
export interface HttpClientOptions {
  /** Maximum number of connections to one address. */
  readonly maxConnections: number
  /** Maximum size of a response body, in bytes. */
  readonly maxAnswerBytes: number
}

const CONNECTION_REFUSED = 'ECONNREFUSED'

/** Makes HTTP calls. Never rejects. */
export interface HttpCaller {
  call (call: HttpCall): Promise<HttpOutcome>
  close (): void
}

export class HttpClient implements HttpCaller {
  private readonly _agent: Agent
  private readonly _options: HttpClientOptions

  constructor (options: HttpClientOptions) {
    this._options = options
    this._agent = new Agent({ keepAlive: true, maxSockets: options.maxConnections })
  }

  call (call: HttpCall): Promise<HttpOutcome> {
    const { host, port } = parseAddress(call.address)
    const body = call.body === undefined ? undefined : Buffer.from(call.body)
    const headers = { ...call.headers, ...(body === undefined ? {} : { 'content-type': 'application/json', 'content-length': String(body.length) }) }
    return new Promise(resolve => {
      const opened = openCheckedRequest({ agent: this._agent, host, port, method: call.method, path: call.path, headers })
      if (opened instanceof Error) return resolve({ kind: 'notSent', message: `${call.method} ${call.address}${call.path}: ${opened.message}`, isRefused: false })
      const request = opened
      let isConnected = false
      let receivedBytes = 0
      const onAbort = (): void => { request.destroy(new Error('the call was given up')) }
      const startedAt = performance.now()
      const giveUp = (): void => {
        request.destroy(new Error(describeTimeout(performance.now() - startedAt, receivedBytes)))
        this._closeIdleConnections(host, port)
      }
      let timer = setTimeout(giveUp, call.timeoutMs)
      let firstPartAt: number | undefined
      const extendTimeout = ({ maxGapMs, maxMs }: TransferLimits): void => {
        firstPartAt ??= performance.now()
        clearTimeout(timer)
        timer = setTimeout(giveUp, Math.min(maxGapMs, firstPartAt + maxMs - performance.now()))
      }
      const settle = (outcome: HttpOutcome): void => {
        clearTimeout(timer)
        call.signal?.removeEventListener('abort', onAbort)
        resolve(outcome)
      }
      const fail = (text: string, isRefused = false): void => {
        const message = `${call.method} ${call.address}${call.path}: ${text}`
        settle(isConnected ? { kind: 'lost', message } : { kind: 'notSent', message, isRefused })
      }
      call.signal?.addEventListener('abort', onAbort, { once: true })
      request.on('socket', socket => {
        if (socket.connecting) socket.once('connect', () => { isConnected = true })
        else isConnected = true
      })
      request.on('error', (error: NodeJS.ErrnoException) => fail(error.message, error.code === CONNECTION_REFUSED))
      request.on('response', response => {
        response.on('data', (part: Buffer) => {
          receivedBytes += part.length
          if (call.transfer !== undefined) extendTimeout(call.transfer)
          call.onPart?.(part, response.statusCode ?? 0)
        })
        void readBody(response, { maxBytes: this._options.maxAnswerBytes }).then(read => {
          if (read.kind === 'whole') return settle({ kind: 'answered', status: response.statusCode ?? 0, headers: response.headers, body: read.body.toString('utf8') })
          request.destroy()
          fail(read.kind === 'tooLarge' ? `the answer is larger than ${this._options.maxAnswerBytes} bytes` : 'the answer broke off')
        })
      })
      request.end(body)
      if (call.signal?.aborted === true) onAbort()
    })
  }

  close (): void {
    this._agent.destroy()
  }

  private _closeIdleConnections (host: string, port: number): void {
    for (const socket of this._agent.freeSockets[this._agent.getName({ host, port })] ?? []) socket.destroy()
  }
}

/** Names the bytes of the answer that had arrived, which tell a slow answer from silence. */
function describeTimeout (elapsedMs: number, receivedBytes: number): string {
  const withinText = `within ${Math.round(elapsedMs)} ms`
  return receivedBytes === 0 ? `no answer ${withinText}` : `the answer was not complete ${withinText}; ${receivedBytes} bytes of it had arrived`
}

/** Opens a request. Returns an error if its address, path or a header has a value that no request can have; such values may come from other processes. */
function openCheckedRequest (options: RequestOptions & { readonly host: string, readonly port: number }): ClientRequest | Error {
  // Node takes an empty host for the local one and a port that is no number for port 80.
  if (options.host === '' || !isPort(options.port)) return new Error('the address has no host or no valid port')
  try {
    return openRequest(options)
  } catch (error) {
    return error as Error
  }
}
