export { OverloadMeasurement } from './overloadMeasurement.js'
