/**
 * Handler with which an agent relays store calls for processes that can't reach the store themselves.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'

import { parseJson } from '@dragonflylever/protocol'
import { readBody } from '@dragonflylever/runtime'
import type { HttpCaller, Logger } from '@dragonflylever/runtime'
import * as z from 'zod'

import { RELAY_FAILED } from './relayedCaller.js'

const MAX_BODY_BYTES = 2 * 1024 * 1024
const requestSchema = z.object({ method: z.enum(['GET', 'POST', 'DELETE']), path: z.string(), body: z.string().optional(), timeoutMs: z.number().min(1).max(60_000) })

/** Dependencies of {@link createRelayHandler}. */
export interface RelayHandlerDependencies {
  /** Calls the store directly, never through another agent. */
  readonly direct: HttpCaller
  readonly storeAddress: string
  readonly logger: Logger
}

/**
 * Creates the handler of requests at `RELAY_PATH`. Answers with the store's
 * answer, with status 400 if the request is invalid, and with status {@link RELAY_FAILED} if the store did not answer.
 */
export function createRelayHandler (dependencies: RelayHandlerDependencies): (request: IncomingMessage, response: ServerResponse) => Promise<void> {
  return async (request, response) => {
    const read = await readBody(request, { maxBytes: MAX_BODY_BYTES })
    const checked = requestSchema.safeParse(read.kind === 'whole' ? parseJson(read.body.toString('utf8')) : undefined)
    if (!checked.success) return sendAnswer(response, 400, 'expected a call to the store')
    const { method, path, body, timeoutMs } = checked.data
    const outcome = await dependencies.direct.call({ address: dependencies.storeAddress, method, path, timeoutMs, ...(body === undefined ? {} : { body }) })
    if (outcome.kind === 'answered') return sendAnswer(response, outcome.status, outcome.body)
    dependencies.logger.info({ method, message: outcome.message }, 'failed to relay a store call for another process')
    sendAnswer(response, RELAY_FAILED, outcome.message)
  }
}

function sendAnswer (response: ServerResponse, status: number, text: string): void {
  const body = Buffer.from(text)
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': body.length })
  response.end(body)
}
