export { FrontServer } from './frontServer.js'
export { type GatewayState, type OldWeightsSettings } from './gatewayState.js'
