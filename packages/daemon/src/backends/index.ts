export { BackendFleet, type EngineReplica, type ServiceReplica, type StoreReplica } from './backendFleet.js'
