import { TelemetryMeasurement } from '../telemetry/index.js'
import type { CoordinationMeasurement } from './measurement.js'

/** Every measurement of the coordination decisions. */
export const coordinationMeasurements: readonly CoordinationMeasurement[] = [new TelemetryMeasurement()]

export { CoordinationMeasurement, type MeasurementRow } from './measurement.js'
