/** Lets operators empty an instance before its host goes. */
import type Router from '@koa/router'
import { OperatorRoutes } from './operatorRoutes.js'

/** Starts the same graceful stop as a first SIGTERM. */
export class DrainRoutes extends OperatorRoutes {
  /**
   * @param _host name of this host
   * @param _drain starts the stop; called again for each repeated call
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
