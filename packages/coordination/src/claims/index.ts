export { CLAIM_SHARD_COUNT, claimShardOf, shardHeadKey } from './claimPlacement.js'
export { ClaimShard } from './claimShard.js'
export {
  claimSchema, keptAnswerSchema, shardHeadSchema,
  type Claim, type ClaimEffect, type ClaimMessage, type ClaimReply, type ClaimReport, type ClaimRequest,
  type KeptAnswer, type ShardHead
} from './messages.js'
