export { ClaimedAttempt, type AttemptEffect, type AttemptMessage, type AttemptOutcome, type AttemptRefusal, type AttemptRules, type CallEnd } from './claimedAttempt.js'
export { answerChunkKey, CLAIM_SHARD_COUNT, claimLayoutKey, claimShardOf, segmentKey, shardHeadKey } from './claimPlacement.js'
export { ClaimShard } from './claimShard.js'
export { EXECUTOR_GONE_AFTER } from './executorWatch.js'
export { CLAIM_LIMITS, type ClaimLimits } from './claimLimits.js'
export { ANSWER_LIMITS, joinAnswer, type AnswerLimits } from './storedAnswer.js'
export { FLEET_CLAIM_WRITES_PER_SECOND } from './writePacer.js'
export {
  claimSchema, keptAnswerSchema, segmentSchema, shardHeadSchema,
  type Claim, type ClaimEffect, type ClaimMessage, type ClaimReply, type ClaimReport, type ClaimRequest,
  type ClaimResolution, type KeptAnswer, type SegmentDescriptor, type ShardHead, type StoredAnswer
} from './messages.js'
