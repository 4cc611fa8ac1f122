/**
 * Compares shared keys in constant time, so that the response time does not reveal how much of a guessed key is correct.
 */
import { createHash, timingSafeEqual } from 'node:crypto'

function computeDigest (text: string): Buffer {
  return createHash('sha256').update(text).digest()
}

/** Returns whether the presented key equals the expected one, in constant time. */
export function isSameKey (presented: string | undefined, expected: string): boolean {
  return timingSafeEqual(computeDigest(presented ?? ''), computeDigest(expected)) && presented !== undefined
}
