import type { CoordinationMeasurement } from './measurement.js'
import { OverloadMeasurement } from './overload/index.js'

/** Every measurement of the coordination decisions. */
export const coordinationMeasurements: readonly CoordinationMeasurement[] = [
  new OverloadMeasurement()
]

export { CoordinationMeasurement, type MeasurementRow } from './measurement.js'
