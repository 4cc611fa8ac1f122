/**
 * Decides what a request may do when its idempotency key is claimed already.
 */
import type { Answer } from '../outcome.js'
import { ClaimState } from './claimRecord.js'
import type { ClaimRecord } from './claimRecord.js'

/** Maximum size of an answer body that is kept for replay to a repeated request, in bytes. */
export const MAX_KEPT_ANSWER_BYTES = 64 * 1024

/**
 * `reclaim`: the earlier request is known not to have run, so the key may be claimed by compare-and-swap;
 * `wait`: according to the store, the earlier request has not ended;
 * `replay`: the answer to the earlier request is returned;
 * `notKept`: the earlier request was answered, but the answer was too large to keep;
 * `keyReused`: the key was claimed by a different request.
 */
export type ClaimDecision =
  | { readonly kind: 'reclaim' }
  | { readonly kind: 'wait' }
  | { readonly kind: 'replay', readonly answer: Answer }
  | { readonly kind: 'notKept' }
  | { readonly kind: 'keyReused' }

/**
 * Decides for a request with `digest` by the stored claim on its key. An undefined `record` stands for a claim that can't be decoded and counts
 * as the claim of an unknown request.
 */
export function decideClaim (record: ClaimRecord | undefined, digest: string): ClaimDecision {
  if (record === undefined) return { kind: 'wait' }
  if (record.digest !== digest) return { kind: 'keyReused' }
  if (record.state === ClaimState.released) return { kind: 'reclaim' }
  if (record.state === ClaimState.claimed) return { kind: 'wait' }
  return record.answer === undefined ? { kind: 'notKept' } : { kind: 'replay', answer: record.answer }
}

/** Returns the answer when it is small enough to be stored for replay, else undefined. */
export function selectKeptAnswer (answer: Answer): Answer | undefined {
  return answer.body.length <= MAX_KEPT_ANSWER_BYTES ? answer : undefined
}
