/**
 * Fits a straight line through points by least squares.
 */

export interface Point {
  readonly x: number
  readonly y: number
}

/** Returns the slope and intercept of the line; the slope is 0 when all `x` are equal. */
export function fitLine (points: readonly Point[]): { slope: number, intercept: number } {
  const meanX = computeMean(points.map(point => point.x))
  const meanY = computeMean(points.map(point => point.y))
  const spread = points.reduce((sum, point) => sum + (point.x - meanX) ** 2, 0)
  const slope = spread === 0 ? 0 : points.reduce((sum, point) => sum + (point.x - meanX) * (point.y - meanY), 0) / spread
  return { slope, intercept: meanY - slope * meanX }
}

function computeMean (values: readonly number[]): number {
  return values.length === 0 ? 0 : values.reduce((sum, value) => sum + value, 0) / values.length
}
