export {
  applyColdRegistrations, encodeColdUpdates, receiveColdUpdates, recordColdAnswer, reportColdReplicas, suspectRestart
} from './coldReplicaEvents.js'
export { connectedInstances } from './connectedInstances.js'
export { onEvacuationChange } from './evacuationEvents.js'
export { FrontServer } from './frontServer.js'
export { findOrigin, type StoreChange } from './replicaRunCheck.js'
export { RelayServer } from './relayServer.js'
export { beginPace, paceUpdates, receivePaces, tickPaces } from './replicaPace.js'
export { type RequestServer } from './requestServer.js'
export { WaitQueues } from './waitQueues.js'
export { type GatewayState, type OldWeightsSettings } from './gatewayState.js'
