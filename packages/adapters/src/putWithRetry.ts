/**
 * A conditional write that is retried when its answer was lost. The value holds a nonce of its writer, so a conflict with the writer's own
 * value shows that an earlier attempt succeeded; the unchanged condition prevents a retry from taking effect twice.
 */
import type { Ambiguous, PutOutcome, PutRequest, Store, StoredValue } from './store.js'

const ATTEMPTS = 6
const FIRST_PAUSE_MS = 100

/** Puts a value with retries. `isOwnValue` recognises the writer's value by its nonce. Throws if the request has no precondition (`expect` is `any`). */
export async function putWithRetry (store: Store, request: PutRequest, isOwnValue: (stored: StoredValue) => boolean): Promise<PutOutcome> {
  if (request.expect.kind === 'any') throw new Error('invariant: retries requested for an unconditional write')
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
