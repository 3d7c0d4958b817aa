/** Route for operators about backend servers that are leaving. */
import type Router from '@koa/router'
import { OperatorRoutes } from '../operators/operatorRoutes.js'
import type { LeavingLoop } from './leavingLoop.js'

/** Lists the backend servers to which this instance sends no new requests. */
export class LeavingRoutes extends OperatorRoutes {
  constructor (private readonly _leaving: LeavingLoop) {
    super()
  }

  override register (router: Router): void {
    router.get('/v1/leaving', context => { context.body = { servers: this._leaving.leaving } })
  }
}
