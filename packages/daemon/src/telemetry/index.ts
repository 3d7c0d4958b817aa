export { Logger, type LogFields } from './logger.js'
export {
  Metrics, type CountedMeasure, type CounterReading, type HistogramReading, type TimedMeasure
} from './metrics.js'
export { MetricsRoutes } from './metricsRoutes.js'
