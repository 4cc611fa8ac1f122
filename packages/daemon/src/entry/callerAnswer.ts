/**
 * Writes the outcomes of requests as HTTP answers to callers.
 */
import type { ServerResponse } from 'node:http'

import { NotRunReason, UnknownReason } from '@dragonflylever/core'
import type { Outcome } from '@dragonflylever/core'
import { CallerHeader } from '@dragonflylever/protocol'

import type { Refusal } from './callerRequest.js'

const MS_PER_S = 1_000

const NOT_RUN_STATUS: Readonly<Record<NotRunReason, number>> = {
  [NotRunReason.badRequest]: 400,
  [NotRunReason.tooLarge]: 413,
  [NotRunReason.unauthorised]: 401,
  [NotRunReason.overloaded]: 503,
  [NotRunReason.deadlineTooShort]: 503,
  [NotRunReason.deadlinePassed]: 504,
  [NotRunReason.noEndpoint]: 503,
  [NotRunReason.noConfiguration]: 503,
  [NotRunReason.storeUnavailable]: 503,
  [NotRunReason.keyReused]: 422,
  [NotRunReason.cancelled]: 499,
  [NotRunReason.leaving]: 503,
  [NotRunReason.refused]: 503
}

const UNKNOWN_STATUS: Readonly<Record<UnknownReason, number>> = {
  [UnknownReason.answerLost]: 502,
  [UnknownReason.answerTruncated]: 502,
  [UnknownReason.answerTooLarge]: 502,
  [UnknownReason.deadlinePassed]: 504,
  [UnknownReason.alreadyClaimed]: 409,
  [UnknownReason.answerNotKept]: 409
}

/** Writes the outcome of a request: the endpoint's answer, or an error status with the reason in a JSON body. */
export function writeOutcome (response: ServerResponse, requestId: string, outcome: Outcome): void {
  if (response.destroyed) return
  if (outcome.kind !== 'answered') {
    const status = outcome.kind === 'notRun' ? NOT_RUN_STATUS[outcome.reason] : UNKNOWN_STATUS[outcome.reason]
    writeBody(response, status, requestId, outcome)
    return
  }
  const { answer } = outcome
  const headers: Array<[string, string]> = answer.headers.filter(([name]) => name !== 'transfer-encoding').map(([name, value]) => [name, value])
  headers.push([CallerHeader.requestId, requestId], [CallerHeader.outcome, outcome.kind])
  if (outcome.isReplayed) headers.push([CallerHeader.replayed, 'true'])
  if (answer.status !== 204 && answer.status !== 304) headers.push(['content-length', String(answer.body.length)])
  response.writeHead(answer.status, headers.flat())
  response.end(answer.body)
}

/** Writes the refusal of a request that was sent to no agent. */
export function writeRefusal (response: ServerResponse, refusal: Refusal, requestId = ''): void {
  if (response.destroyed) return
  writeBody(response, refusal.status, requestId, { kind: 'notRun', reason: refusal.reason, message: refusal.message })
}

function writeBody (response: ServerResponse, status: number, requestId: string, outcome: Exclude<Outcome, { kind: 'answered' }>): void {
  const retryAfterMs = outcome.kind === 'notRun' ? outcome.retryAfterMs : undefined
  const body = Buffer.from(`${JSON.stringify({ outcome: outcome.kind, reason: outcome.reason, message: outcome.message, requestId, retryAfterMs })}\n`)
  const headers: Record<string, string | number> = {
    'content-type': 'application/json',
    'content-length': body.length,
    [CallerHeader.requestId]: requestId,
    [CallerHeader.outcome]: outcome.kind,
    [CallerHeader.reason]: outcome.reason
  }
  if (retryAfterMs !== undefined) headers['retry-after'] = Math.max(1, Math.ceil(retryAfterMs / MS_PER_S))
  response.writeHead(status, headers)
  response.end(body)
}
