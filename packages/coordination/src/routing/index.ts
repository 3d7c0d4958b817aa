export { ReadRotation } from './readRotation.js'
export { isBelievedHeld, queuedPromptTokens, ReplicaTable, type Dispatch, type ReplicaBelief } from './replicaTable.js'
export {
  PredictedFirstTokenPolicy, RoutingPolicy, type BlockImport, type Placement, type PlacementRequest
} from './routingPolicy.js'
export { TieredPlacementPolicy } from './tieredPlacementPolicy.js'
