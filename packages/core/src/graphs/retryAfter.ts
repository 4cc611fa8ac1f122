/**
 * How long a client should wait before it tries again, in whole seconds, since the header that tells it can carry nothing finer.
 */

const MS_PER_S = 1_000
const MIN_RETRY_AFTER_S = 1
const MAX_RETRY_AFTER_S = 4
/**
 * Mean delay relative to the age of the outage. An outage of unknown length is expected to last about as long again as it has lasted, but a call too early costs
 * a client only one of its few attempts, and one too late delays its job: with 1 in place of 0.5, jobs come 0.6 to 0.9 s later after outages of 3 to 5 s and none more are accepted.
 */
const MEAN_SHARE = 0.5
/** Width of the range over which the delays are spread, relative to their mean. */
const SPREAD = 0.5

/**
 * Computes the delay after which a client should retry when a dependency has been unavailable for `outageMs` milliseconds. `random` is a number in [0, 1), which
 * spreads the clients. Returns milliseconds: 1 to 4 whole seconds.
 */
export function computeOutageRetryAfter (outageMs: number, random: number): number {
  const meanS = Math.min(MAX_RETRY_AFTER_S, Math.max(MIN_RETRY_AFTER_S, outageMs * MEAN_SHARE / MS_PER_S))
  // Rounding adds up to half a second on each side.
  const widthS = meanS * SPREAD + 1
  const delayS = Math.round(meanS + (random - 0.5) * widthS)
  return Math.min(MAX_RETRY_AFTER_S, Math.max(MIN_RETRY_AFTER_S, delayS)) * MS_PER_S
}

/** Rounds a delay up or down to whole seconds, at least one, after spreading it by up to a quarter more. `random` is a number in [0, 1). */
export function roundRetryAfter (delayMs: number, random: number): number {
  const delayS = delayMs / MS_PER_S * (1 + random * SPREAD / 2)
  return Math.max(MIN_RETRY_AFTER_S, Math.round(delayS)) * MS_PER_S
}
