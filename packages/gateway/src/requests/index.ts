export { FrontServer } from './frontServer.js'
export { RelayServer } from './relayServer.js'
export { type RequestServer } from './requestServer.js'
export { type GatewayState, type OldWeightsSettings } from './gatewayState.js'
