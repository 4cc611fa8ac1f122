/**
 * Fits a straight line through points by least squares.
 */

export interface Point {
  readonly x: number
  readonly y: number
}

/** Lower bound of the values of a fit over logarithms, since zero has none. */
const MIN_VALUE = 1e-6

/** Returns the slope and intercept of the line; the slope is 0 when all `x` are equal. */
export function fitLine (points: readonly Point[]): { slope: number, intercept: number } {
  const meanX = computeMean(points.map(point => point.x))
  const meanY = computeMean(points.map(point => point.y))
  const spread = points.reduce((sum, point) => sum + (point.x - meanX) ** 2, 0)
  const slope = spread === 0 ? 0 : points.reduce((sum, point) => sum + (point.x - meanX) * (point.y - meanY), 0) / spread
  return { slope, intercept: meanY - slope * meanX }
}

/** Returns the exponent with which `y` grows with `x`: the slope over the logarithms. */
export function fitExponent (points: readonly Point[]): number {
  return fitLine(points.map(({ x, y }) => ({ x: Math.log(x), y: Math.log(Math.max(y, MIN_VALUE)) }))).slope
}

function computeMean (values: readonly number[]): number {
  return values.length === 0 ? 0 : values.reduce((sum, value) => sum + value, 0) / values.length
}
