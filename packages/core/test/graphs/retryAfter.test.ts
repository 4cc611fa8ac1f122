/**
 * Delays that clients are told after a refusal: bounded, in whole seconds, growing with the outage, and spread.
 */
import { computeOutageRetryAfter } from '@dragonflylever/core/graphs/index'
import test from 'ava'

const RANDOMS = Array.from({ length: 100 }, (_, index) => index / 100)

function computeMean (outageMs: number): number {
  return RANDOMS.reduce((sum, random) => sum + computeOutageRetryAfter(outageMs, random), 0) / RANDOMS.length
}

test('the delay is 1, 2, 3 or 4 s for any age of the outage', t => {
  for (const outageMs of [0, 1, 999, 2_500, 5_000, 60_000, 1e12]) {
    for (const random of RANDOMS) t.true([1_000, 2_000, 3_000, 4_000].includes(computeOutageRetryAfter(outageMs, random)))
  }
})

test('the delay grows with the age of the outage, and clients that are refused together come back at different times', t => {
  t.true(computeMean(0) < computeMean(4_000))
  t.true(computeMean(4_000) < computeMean(8_000))
  for (const outageMs of [0, 4_000, 8_000]) t.true(new Set(RANDOMS.map(random => computeOutageRetryAfter(outageMs, random))).size > 1)
})
