export {
  decideAfterAttempt, finalVerdict, isRepeatable, type AttemptContext, type AttemptEnd, type AttemptVerdict,
  type OpenAttempt
} from './attemptDecision.js'
export { CachedParts, type PromptPart } from './cachedParts.js'
export { ColdReplicas, type ColdBasis, type ColdChange, type ColdUpdate } from './coldReplicas.js'
export { RetryDelays } from './retryDelays.js'
export { EngineSpeed, EngineSpeeds } from './engineSpeed.js'
export { FleetLoads, type ReplicaLoad } from './fleetLoads.js'
export { FleetRetryBudget, type FleetRetryBudgetSettings } from './fleetRetryBudget.js'
export { admitPrompt, isQueueTooLong, urgencyOf, type PromptAdmission, type AdmissionInputs } from './promptAdmission.js'
export { type PartOrigin } from './promptFetches.js'
export { RatePacer } from './ratePacer.js'
export { ReplicaLimits, type LimitChange, type RequestRate, type LimitUpdate } from './replicaLimits.js'
export { LearnedCosts } from './learnedCosts.js'
export { ReplicaSlowdowns } from './replicaSlowdowns.js'
export { SlotLimits } from './slotLimits.js'
export { ServiceRoom, ServiceRooms } from './serviceRoom.js'
export { WaitQueue, type Offer, type OfferOutcome, type WaitingRequest, type WaitRefusal } from './waitQueue.js'
export { ReplicaNotices, replicaRunOf } from './replicaNotices.js'
export { AnswerSpeeds, type AnswerSpeed, type AnswerTime } from './answerSpeeds.js'
export {
  ServerPace, SharedServerPace, type PaceCause, type PaceChange, type PacedEnd, type PacedSend, type PaceUpdate,
  type SharedServerPaceSettings
} from './serverPace.js'
export { ReplicaHealth, type HealthSignal } from './replicaHealth.js'
export { type PartSource, type PartStores } from './partStores.js'
export { SentPrompts, type SentPrompt } from './sentPrompts.js'
export { OriginSegments, type SegmentWrite } from './originSegments.js'
export {
  originHolders, REGISTRATION_DELAY, StreamOrigins, streamOriginSchema, streamOriginsMessageSchema, type BeginningRun,
  type StreamOrigin,
  type StreamOriginsMessage
} from './streamOrigins.js'
export { continuationFaultOf, isPlainBody, StreamPosition, type BodyKind, type StreamGap } from './streamPosition.js'
export { SoftwareVersions, versionRecordSchema, type VersionRecord } from './softwareVersions.js'
export {
  selectReplica, type Prompt, type PromptDemand, type Selection, type SelectionRequest, type SelectionView
} from './selectReplica.js'
