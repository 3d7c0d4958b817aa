/** Linear regression by least squares. */

/** A measured value at a size. */
export interface Point {
  size: number
  value: number
}

/** The line `intercept + slope * size`. */
export interface Line {
  intercept: number
  slope: number
}

/** Returns the line with the least squared error. If all points have the same size, the slope is 0. */
export function fitLine (points: readonly Point[]): Line {
  const meanSize = mean(points.map(point => point.size))
  const meanValue = mean(points.map(point => point.value))
  const covariance = sum(points.map(point => (point.size - meanSize) * (point.value - meanValue)))
  const variance = sum(points.map(point => (point.size - meanSize) ** 2))
  const slope = variance === 0 ? 0 : covariance / variance
  return { intercept: meanValue - slope * meanSize, slope }
}

export function valueAt (line: Line, size: number): number {
  return line.intercept + line.slope * size
}

function sum (values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}

function mean (values: readonly number[]): number {
  return values.length === 0 ? 0 : sum(values) / values.length
}
