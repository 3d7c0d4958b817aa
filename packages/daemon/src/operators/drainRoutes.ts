/** Route for operators that drains an instance before its host is stopped. */
import type Router from '@koa/router'
import { OperatorRoutes } from './operatorRoutes.js'

/** Starts the same graceful stop as a first SIGTERM. */
export class DrainRoutes extends OperatorRoutes {
  /**
   * @param _host name of this host
   * @param _drain starts the stop; called for every request, also repeated ones
   */
  constructor (private readonly _host: string, private readonly _drain: () => void) {
    super()
  }

  override register (router: Router): void {
    router.post('/v1/drain', context => {
      context.status = 202
      context.body = { host: this._host, state: 'leaving' }
      this._drain()
    })
  }
}
