export { BackendFleet, type EngineReplica, type ServiceReplica, type StoreReplica } from './backendFleet.js'
export { BlockTransfers, type ExportCandidates, type LocatedBlock, type LocatedBlocks } from './blockTransfers.js'
