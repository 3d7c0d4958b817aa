export { LoadingReplicas } from './loadingReplicas.js'
export {
  RolloutPlanner, type LoadedReplica, type ReplicaReport, type RolloutSettings, type RolloutStep, type WeightOrder
} from './rolloutPlanner.js'
