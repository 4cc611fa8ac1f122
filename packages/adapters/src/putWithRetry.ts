/**
 * Conditional write with retries if the store's answer is lost. The value contains a nonce that only this writer uses. If a retry reports a
 * conflict and the stored value contains that nonce, an earlier attempt succeeded. All attempts have the same precondition, so at most one
 * of them takes effect.
 */
import type { Ambiguous, PutOutcome, PutRequest, Store, StoredValue } from './store.js'

const ATTEMPTS = 6
const FIRST_PAUSE_MS = 100

/**
 * Puts a value with retries. `isOwnValue` returns true if a stored value contains the nonce of this writer. Throws if the request has
 * no precondition (`expect` is `any`).
 */
export async function putWithRetry (store: Store, request: PutRequest, isOwnValue: (stored: StoredValue) => boolean): Promise<PutOutcome> {
  if (request.expect.kind === 'any') throw new Error('invariant: putWithRetry was called for a write without a precondition')
  let lastAmbiguous: Ambiguous | undefined
  for (let attempt = 0; attempt < ATTEMPTS; attempt++) {
    const outcome = await store.put(request)
    if (outcome.kind === 'conflict' && outcome.current !== undefined && isOwnValue(outcome.current)) return { kind: 'ok', modRevision: outcome.current.modRevision }
    if (outcome.kind === 'ambiguous') lastAmbiguous = outcome
    else if (outcome.kind === 'ok' || lastAmbiguous === undefined) return outcome
    else if (outcome.kind === 'conflict') return outcome
    await new Promise(resolve => setTimeout(resolve, FIRST_PAUSE_MS * 2 ** attempt))
  }
  return lastAmbiguous ?? { kind: 'unavailable', message: 'the store did not answer' }
}
