/**
 * Faults that Node's HTTP server finds in what a client sends, and the answers to them.
 */
import { STATUS_CODES } from 'node:http'
import type { ServerResponse } from 'node:http'

import type { ClientMessage } from './clientMessage.js'

/** A fault of a client: the cause under which it is counted, and the status of the answer. */
export interface ClientFault {
  readonly cause: string
  readonly status: number
}

const PARSER_CODE_PREFIX = 'HPE_'
const FAULT_BY_CODE: Readonly<Record<string, ClientFault>> = {
  HPE_HEADER_OVERFLOW: { cause: 'headerBytes', status: 431 },
  HPE_CHUNK_EXTENSIONS_OVERFLOW: { cause: 'chunkExtensions', status: 413 }
}

/** Finds the fault that an error code of Node's server stands for; undefined if the connection itself failed. */
export function findClientFault (code: string | undefined, isReadingBody: boolean): ClientFault | undefined {
  if (code === 'ERR_HTTP_REQUEST_TIMEOUT') return { cause: isReadingBody ? 'requestTimeout' : 'headTimeout', status: 408 }
  const isParserFault = code?.startsWith(PARSER_CODE_PREFIX) === true
  return FAULT_BY_CODE[code ?? ''] ?? (isParserFault ? { cause: 'malformed', status: 400 } : undefined)
}

/** Formats an answer without a body, after which the connection is closed. */
export function formatFaultAnswer ({ status }: ClientFault): string {
  return `HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`
}

/** Refuses a request for its head alone, and closes the connection after the answer. */
export function refuseHead (message: ClientMessage, response: ServerResponse, status: number): void {
  message.lease?.countRefusal('head')
  response.writeHead(status, { connection: 'close', 'content-length': '0' })
  response.end()
}
