/** Messages, records and effects of the claim log. */
import { z } from 'zod'
import { instanceIdentitySchema, type InstanceIdentity, type Milliseconds } from '../common/index.js'

/** A kept answer, whole. */
export const keptAnswerSchema = z.strictObject({
  status: z.number().int(),
  body: z.string()
})
/** A kept answer, whole. */
export type KeptAnswer = z.infer<typeof keptAnswerSchema>

/** One claim as recorded in the log. */
export const claimSchema = z.strictObject({
  workspace: z.string(),
  idempotencyKey: z.string(),
  kind: z.string(),
  treatment: z.enum(['durable', 'at-most-once']),
  /** Digest of the request, so that the same key with another request is a conflict. */
  requestDigest: z.string(),
  /** Names one attempt to run the request; only its holder may send. */
  attemptToken: z.string(),
  executor: instanceIdentitySchema,
  /** `released` means that no attempt was ever sent; `unknown` that one may have been. */
  state: z.enum(['claimed', 'released', 'done', 'unknown']),
  /** Wall-clock time of the first record, for the retention window and for people. */
  recordedAt: z.number(),
  /** The request itself, kept for durable requests so that any instance can run it. */
  request: z.string().optional(),
  answer: keptAnswerSchema.optional()
})
/** One claim as recorded in the log. */
export type Claim = z.infer<typeof claimSchema>

/** The value under a shard's head key. */
export const shardHeadSchema = z.strictObject({
  /** Names the write, so that a lost answer is settled by reading back. */
  writerToken: z.string(),
  /** Rises with each new owner. */
  epoch: z.number().int().nonnegative(),
  owner: instanceIdentitySchema,
  claims: z.array(claimSchema)
})
/** The value under a shard's head key. */
export type ShardHead = z.infer<typeof shardHeadSchema>

/** A request to claim. */
export interface ClaimRequest {
  workspace: string
  idempotencyKey: string
  kind: string
  treatment: Claim['treatment']
  requestDigest: string
  attemptToken: string
  executor: InstanceIdentity
  recordedAt: number
  request?: string
}

/** A report about a claimed attempt by its executor. */
export interface ClaimReport {
  workspace: string
  idempotencyKey: string
  attemptToken: string
  /** `released` only if the attempt was never sent and never will be. */
  state: 'released' | 'done' | 'unknown'
  answer?: KeptAnswer
}

/** Answer to a claim request or report. */
export type ClaimReply =
  | { kind: 'granted' }
  | { kind: 'recorded' }
  | { kind: 'done', answer: KeptAnswer }
  | { kind: 'in-progress', executor: InstanceIdentity }
  | { kind: 'unknown' }
  | { kind: 'conflict' }
  | { kind: 'not-owner' }
  | { kind: 'unavailable', retryAfter: Milliseconds }

/** What a shard is told. */
export type ClaimMessage =
  | { kind: 'take-over' }
  | { kind: 'claim', callId: number, request: ClaimRequest }
  | { kind: 'report', callId: number, report: ClaimReport }
  | { kind: 'head-read', head: ShardHead | undefined, revision: number }
  | { kind: 'head-read-failed' }
  | { kind: 'head-written', revision: number }
  | { kind: 'head-write-lost' }
  | { kind: 'head-write-ambiguous' }

/** What a shard asks its driver to do. */
export type ClaimEffect =
  | { kind: 'read-head' }
  | { kind: 'write-head', head: ShardHead, expectedRevision: number }
  | { kind: 'reply', callId: number, reply: ClaimReply }
