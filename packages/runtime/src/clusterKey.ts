/**
 * Comparison of shared keys without telling by time how much of a guess was right.
 */
import { createHash, timingSafeEqual } from 'node:crypto'

function computeDigest (text: string): Buffer {
  return createHash('sha256').update(text).digest()
}

/** Checks a presented key against the expected one in constant time. */
export function isSameKey (presented: string | undefined, expected: string): boolean {
  return timingSafeEqual(computeDigest(presented ?? ''), computeDigest(expected)) && presented !== undefined
}
