/** Maps claims to shards, and shards to keys of the key-value service. */
import { placementHash } from '../common/index.js'

/** Number of claim shards; fixed for the lifetime of an environment, and stored under `claimLayoutKey`. */
export const CLAIM_SHARD_COUNT = 32

/** The shard of a workspace's idempotency key. */
export function claimShardOf (workspace: string, idempotencyKey: string): number {
  return placementHash(`${workspace}\n${idempotencyKey}`) % CLAIM_SHARD_COUNT
}

/** The key that stores the number of shards of an environment; written once. */
export function claimLayoutKey (environment: string): string {
  return `wasabihead/${environment}/claims/layout`
}

/** The head key of a shard, under the environment's prefix. */
export function shardHeadKey (environment: string, shard: number): string {
  return `wasabihead/${environment}/claims/${shard}/head`
}

/** The key of one chunk of a stored answer, under the environment's prefix. */
export function answerChunkKey (environment: string, shard: number, name: string, index: number): string {
  return `wasabihead/${environment}/claims/${shard}/answers/${name}/${index}`
}

/** The key of a closed segment, under the environment's prefix. */
export function segmentKey (environment: string, shard: number, name: string): string {
  return `wasabihead/${environment}/claims/${shard}/segments/${name}`
}
