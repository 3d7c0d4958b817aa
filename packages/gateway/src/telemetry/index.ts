export { DecisionLog, describeFailure, type DecisionLogSettings, type LogFields } from './decisionLog.js'
export { GatewayMetrics } from './gatewayMetrics.js'
