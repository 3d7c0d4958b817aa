export { FrontServer } from './frontServer.js'
export { type GatewayState } from './gatewayState.js'
