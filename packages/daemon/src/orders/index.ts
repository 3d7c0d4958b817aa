export { OrderRoutes } from './orderRoutes.js'
export { OrdersLoop } from './ordersLoop.js'
