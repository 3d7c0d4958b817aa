export { ReadRotation } from './readRotation.js'
export { isLikelyHeld, queuedPromptTokens, ReplicaTable, type Dispatch, type ReplicaState } from './replicaTable.js'
export {
  PredictedFirstTokenPolicy, RoutingPolicy, type BlockImport, type Placement, type PlacementRequest
} from './routingPolicy.js'
export { TieredPlacementPolicy } from './tieredPlacementPolicy.js'
