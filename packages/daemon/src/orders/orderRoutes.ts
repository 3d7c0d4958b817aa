/** Route for operators about orders to backend servers. */
import type Router from '@koa/router'
import { OperatorRoutes } from '../operators/operatorRoutes.js'
import type { OrdersLoop } from './ordersLoop.js'

/** Shows the progress of the orders; empty on instances that do not hold the role. */
export class OrderRoutes extends OperatorRoutes {
  constructor (private readonly _orders: OrdersLoop) {
    super()
  }

  override register (router: Router): void {
    router.get('/v1/orders', context => { context.body = { servers: this._orders.progress } })
  }
}
