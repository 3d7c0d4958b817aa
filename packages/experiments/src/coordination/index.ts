import { ClaimTakeoverMeasurement, ClaimWritesMeasurement } from './claims.js'
import type { CoordinationMeasurement } from './measurement.js'

/** Every measurement of the coordination decisions. */
export const coordinationMeasurements: readonly CoordinationMeasurement[] = [
  new ClaimWritesMeasurement(),
  new ClaimTakeoverMeasurement()
]

export { CoordinationMeasurement, type MeasurementRow } from './measurement.js'
