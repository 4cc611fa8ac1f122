/**
 * Handler with which an agent relays store calls for processes that can't reach the store themselves.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'

import { isBoundedJson, parseJson } from '@dragonflylever/protocol'
import { readBody } from '@dragonflylever/runtime'
import type { Logger } from '@dragonflylever/runtime'
import * as z from 'zod'

import type { DirectPath } from './directPath.js'
import { RELAY_REJECTED, RELAY_UNDECIDED } from './relayedCaller.js'

const MAX_BODY_BYTES = 2 * 1024 * 1024
const requestSchema = z.object({ method: z.enum(['GET', 'POST', 'DELETE']), path: z.string(), body: z.string().optional(), timeoutMs: z.number().min(1).max(60_000), isLongPoll: z.boolean().optional(), transfer: z.object({ maxGapMs: z.number().min(1).max(60_000), maxMs: z.number().min(1).max(60_000) }).optional() })

/** Dependencies of {@link createRelayHandler}. */
export interface RelayHandlerDependencies {
  /** Calls the store directly, never through another agent. */
  readonly direct: DirectPath
  readonly storeAddress: string
  readonly logger: Logger
}

/** Receives the parts of the store's answer as they arrive, and its status. */
export type PartListener = (part: Buffer, status: number) => void

/** Answer to a request to relay a call. */
export interface RelayAnswer {
  readonly status: number
  readonly body: string
}

/** Creates the HTTP handler of requests at `RELAY_PATH`. */
export function createRelayHandler (dependencies: RelayHandlerDependencies): (request: IncomingMessage, response: ServerResponse) => Promise<void> {
  return async (request, response) => {
    const read = await readBody(request, { maxBytes: MAX_BODY_BYTES })
    if (read.kind === 'broken') return
    // The store was not asked, so that the caller can ask another agent.
    if (read.kind === 'overloaded') return sendAnswer(response, { status: RELAY_REJECTED, body: 'this process holds as many requests as it may' })
    const text = read.kind === 'whole' && isBoundedJson(read.body) ? read.body.toString('utf8') : ''
    let sentStatus: number | undefined
    // Passed on as it arrives, so that the caller can tell a large answer from silence.
    const answer = await serveRelayCall(dependencies, text, (part, status) => {
      if (sentStatus === undefined) response.writeHead(status, { 'content-type': 'application/json' })
      sentStatus = status
      response.write(part)
    })
    if (sentStatus === undefined) return sendAnswer(response, answer)
    if (answer.status === sentStatus) response.end()
    else response.destroy()
  }
}

/**
 * Calls the store as the text of a request asks. Returns the store's answer, status 400 if the request is invalid, {@link RELAY_REJECTED} if nothing
 * was sent to the store, and {@link RELAY_UNDECIDED} if the store did not answer. `onPart` receives the answer part by part before it is complete.
 */
export async function serveRelayCall (dependencies: RelayHandlerDependencies, text: string, onPart?: PartListener): Promise<RelayAnswer> {
  const { direct, storeAddress, logger } = dependencies
  const checked = requestSchema.safeParse(parseJson(text))
  if (!checked.success) return { status: 400, body: 'expected a call to the store' }
  // Answered at once, so that the caller can ask another agent.
  if (direct.isFailing) return { status: RELAY_REJECTED, body: 'the store does not serve this process either' }
  const { method, path, body, timeoutMs, isLongPoll, transfer } = checked.data
  const outcome = await direct.call({
    address: storeAddress,
    method,
    path,
    timeoutMs,
    ...(body === undefined ? {} : { body }),
    ...(isLongPoll === undefined ? {} : { isLongPoll }),
    ...(transfer === undefined ? {} : { transfer }),
    ...(transfer === undefined || onPart === undefined ? {} : { onPart })
  })
  if (outcome.kind === 'answered') return { status: outcome.status, body: outcome.body }
  logger.info({ method, message: outcome.message }, 'failed to relay a store call for another process')
  return { status: outcome.kind === 'notSent' ? RELAY_REJECTED : RELAY_UNDECIDED, body: outcome.message }
}

function sendAnswer (response: ServerResponse, answer: RelayAnswer): void {
  const body = Buffer.from(answer.body)
  response.writeHead(answer.status, { 'content-type': 'application/json', 'content-length': body.length })
  response.end(body)
}
