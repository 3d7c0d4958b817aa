export { ReplicaTable, type ReplicaBelief } from './replicaTable.js'
export {
  PredictedFirstTokenPolicy, RoutingPolicy, type Placement, type PlacementRequest
} from './routingPolicy.js'
