export { TelemetryMeasurement } from './telemetryMeasurement.js'
