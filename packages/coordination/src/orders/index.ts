export { desiredStatesOf, SERVING_ROLE } from './desiredStates.js'
export { fencingNumberOf, ORDERS_PER_EPOCH } from './fencingNumber.js'
export type { DesiredState, OrdersEffect, OrdersMessage } from './messages.js'
export {
  FORMER_HOLDER_WAIT, MAXIMUM_CONCURRENT_LOADS, ORDERS_TICK_INTERVAL, OrdersHolder, type OrdersProgress
} from './ordersHolder.js'
