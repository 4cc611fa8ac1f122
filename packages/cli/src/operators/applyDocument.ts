/**
 * Sends a document until its outcome is known: the nonce makes a repetition harmless.
 */
import type { ApplyOutcome, ApplyRequest } from '@dragonflylever/protocol'

import type { CallResult } from './operatorClient.js'

const MAX_TRIES = 3
const WAIT_MS = 1_000

/** Sends one attempt. */
export type ApplySender = (message: ApplyRequest) => Promise<CallResult<ApplyOutcome>>

/** Sends a document; a failed call that may have had an effect is repeated with the same nonce. */
export async function applyDocument (send: ApplySender, message: ApplyRequest): Promise<CallResult<ApplyOutcome>> {
  let isRepeat = message.isRepeat
  let result = await send(message)
  for (let attempt = 2; attempt <= MAX_TRIES; attempt++) {
    const isOpen = result.kind === 'failed' ? result.isSent : result.value.kind === 'unsettled'
    if (!isOpen && !(isRepeat && result.kind === 'failed')) return result
    isRepeat ||= isOpen
    await waitMs(WAIT_MS)
    result = await send({ ...message, isRepeat })
  }
  return result.kind === 'failed' && isRepeat ? { ...result, isSent: true } : result
}

async function waitMs (ms: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, ms))
}
