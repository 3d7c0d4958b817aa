export { Gateway, type GatewayAdapter } from './gateway.js'
export { type GatewaySettings } from './gatewaySettings.js'
