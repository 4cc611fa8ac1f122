/**
 * What a request may do about the claim that it finds on its idempotency key.
 */
import type { Answer } from '../outcome.js'
import { ClaimState } from './claimRecord.js'
import type { ClaimRecord } from './claimRecord.js'

/** Largest answer body kept for a repeat, in bytes. */
export const MAX_KEPT_ANSWER_BYTES = 64 * 1024

/**
 * `reclaim`: the earlier request surely did not run, the key may be claimed by compare-and-swap;
 * `wait`: the earlier request has not ended as far as the store knows.
 */
export type ClaimDecision =
  | { readonly kind: 'reclaim' }
  | { readonly kind: 'wait' }
  | { readonly kind: 'replay', readonly answer: Answer }
  | { readonly kind: 'notKept' }
  | { readonly kind: 'keyReused' }

/** Decides for a request with `digest`; a record that can't be read counts as a claim of nobody knows what. */
export function decideClaim (record: ClaimRecord | undefined, digest: string): ClaimDecision {
  if (record === undefined) return { kind: 'wait' }
  if (record.digest !== digest) return { kind: 'keyReused' }
  if (record.state === ClaimState.released) return { kind: 'reclaim' }
  if (record.state === ClaimState.claimed) return { kind: 'wait' }
  return record.answer === undefined ? { kind: 'notKept' } : { kind: 'replay', answer: record.answer }
}

/** Returns the answer if it is small enough to keep. */
export function selectKeptAnswer (answer: Answer): Answer | undefined {
  return answer.body.length <= MAX_KEPT_ANSWER_BYTES ? answer : undefined
}
