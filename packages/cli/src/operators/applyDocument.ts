/**
 * Sends declarations to an entry and retries while the outcome is unknown. The nonce makes retries idempotent.
 */
import type { ApplyOutcome, ApplyRequest } from '@dragonflylever/protocol'

import type { CallResult } from './operatorClient.js'

const MAX_TRIES = 3
const RETRY_DELAY_MS = 1_000

/** Sends one apply request to an entry. */
export type ApplySender = (message: ApplyRequest) => Promise<CallResult<ApplyOutcome>>

/**
 * Sends a document. While it is unknown whether the document was put in force, repeats the request with the same nonce; makes at most three
 * calls in all.
 * `isSent` of a failed result is true if any of the calls may have put the document in force.
 */
export async function applyDocument (send: ApplySender, message: ApplyRequest): Promise<CallResult<ApplyOutcome>> {
  let isRepeat = message.isRepeat
  let result = await send(message)
  for (let attempt = 2; attempt <= MAX_TRIES; attempt++) {
    const isUnsettled = result.kind === 'failed' ? result.isSent : result.value.kind === 'unsettled'
    if (!isUnsettled && !(isRepeat && result.kind === 'failed')) return result
    isRepeat ||= isUnsettled
    await waitMs(RETRY_DELAY_MS)
    result = await send({ ...message, isRepeat })
  }
  return result.kind === 'failed' && isRepeat ? { ...result, isSent: true } : result
}

async function waitMs (ms: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, ms))
}
