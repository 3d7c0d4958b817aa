export { CallerProtocol, type CallerHead, type HeaderFields } from './callerProtocol.js'
export { CatalogSource, type StoreListing } from './catalogSource.js'
export { ReplicaProtocol, type AnswerFacts, type ForwardFields, type ReplicaCall, type StatedRate } from './replicaProtocol.js'
