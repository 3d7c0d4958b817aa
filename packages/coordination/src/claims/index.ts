export { ClaimedAttempt, type AttemptEffect, type AttemptMessage, type AttemptOutcome, type AttemptRefusal, type CallEnd } from './claimedAttempt.js'
export { LARGEST_PAUSE } from './claimDecisions.js'
export { CLAIM_SHARD_COUNT, claimShardOf, segmentKey, shardHeadKey } from './claimPlacement.js'
export { ClaimShard, HEAD_MAXIMUM_BYTES } from './claimShard.js'
export { EXECUTOR_GONE_AFTER } from './executorWatch.js'
export { RETENTION_WINDOW } from './retention.js'
export { FLEET_CLAIM_WRITES_PER_SECOND } from './writePacer.js'
export {
  claimSchema, keptAnswerSchema, segmentSchema, shardHeadSchema,
  type Claim, type ClaimEffect, type ClaimMessage, type ClaimReply, type ClaimReport, type ClaimRequest,
  type ClaimResolution, type KeptAnswer, type SegmentName, type ShardHead
} from './messages.js'
