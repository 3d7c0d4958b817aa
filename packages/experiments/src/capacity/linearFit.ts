/** Least squares through a few points. */

/** A point of a measurement. */
export interface Point {
  size: number
  value: number
}

/** A straight line. */
export interface Line {
  base: number
  slope: number
}

/** The line with the least squared error. With one distinct size the slope is 0. */
export function fitLine (points: readonly Point[]): Line {
  const meanSize = mean(points.map(point => point.size))
  const meanValue = mean(points.map(point => point.value))
  const covariance = sum(points.map(point => (point.size - meanSize) * (point.value - meanValue)))
  const variance = sum(points.map(point => (point.size - meanSize) ** 2))
  const slope = variance === 0 ? 0 : covariance / variance
  return { base: meanValue - slope * meanSize, slope }
}

/** The line's value at a size. */
export function valueAt (line: Line, size: number): number {
  return line.base + line.slope * size
}

function sum (values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}

function mean (values: readonly number[]): number {
  return values.length === 0 ? 0 : sum(values) / values.length
}
