export { DecisionLog, type DecisionLogSettings, type LogFields } from './decisionLog.js'
export { GatewayMetrics } from './gatewayMetrics.js'
