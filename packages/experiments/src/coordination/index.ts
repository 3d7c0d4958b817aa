import type { CoordinationMeasurement } from './measurement.js'

/** Every measurement of the coordination decisions. */
export const coordinationMeasurements: readonly CoordinationMeasurement[] = []

export { CoordinationMeasurement, type MeasurementRow } from './measurement.js'
