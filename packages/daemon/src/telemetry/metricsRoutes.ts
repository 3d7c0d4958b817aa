/** Routes for operators about the metrics. */
import type Router from '@koa/router'
import { OperatorRoutes } from '../operators/operatorRoutes.js'
import type { Metrics } from './metrics.js'
import { formatMetrics } from './metricsText.js'

/** Shows the metrics as JSON and as text in the format of Prometheus. */
export class MetricsRoutes extends OperatorRoutes {
  constructor (private readonly _metrics: Metrics) {
    super()
  }

  override register (router: Router): void {
    router.get('/v1/metrics', context => {
      context.body = { histograms: this._metrics.readHistograms(), counters: this._metrics.readCounters() }
    })
    router.get('/v1/metrics.txt', context => {
      context.type = 'text/plain'
      context.body = formatMetrics(this._metrics)
    })
  }
}
