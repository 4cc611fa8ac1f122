/**
 * Returns the median of some values; NaN if there are none.
 */
export function computeMedian (values: readonly number[]): number {
  const sorted = Float64Array.from(values).sort()
  const middle = sorted.length >> 1
  const upper = sorted[middle] ?? NaN
  return sorted.length % 2 === 1 ? upper : (upper + (sorted[middle - 1] ?? upper)) / 2
}
