/** The leaving slice for operators. */
import type Router from '@koa/router'
import { OperatorRoutes } from '../operators/operatorRoutes.js'
import type { LeavingLoop } from './leavingLoop.js'

/** Shows which backend servers this instance gives no new work. */
export class LeavingRoutes extends OperatorRoutes {
  constructor (private readonly _leaving: LeavingLoop) {
    super()
  }

  override register (router: Router): void {
    router.get('/v1/leaving', context => { context.body = { servers: this._leaving.leaving } })
  }
}
