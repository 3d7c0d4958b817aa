/** Messages, records and effects of the claim log. */
import * as z from 'zod'
import { instanceIdentitySchema, type InstanceIdentity, type Milliseconds } from '../common/index.js'

/** A kept answer, whole. */
export const keptAnswerSchema = z.strictObject({
  status: z.number().int(),
  body: z.string()
})
/** A kept answer, whole. */
export type KeptAnswer = z.infer<typeof keptAnswerSchema>

/** An answer kept in chunks beside the log. */
export const storedAnswerSchema = z.strictObject({
  /** Names the chunks; it never comes again with other contents. */
  name: z.string().min(1),
  status: z.number().int(),
  digest: z.string(),
  chunkCount: z.number().int().positive()
})
/** An answer kept in chunks beside the log. */
export type StoredAnswer = z.infer<typeof storedAnswerSchema>

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
  /** Absent for a claim that is done where the answer was too large to keep, or an operator resolved it without one. */
  answer: keptAnswerSchema.optional(),
  /** In place of `answer` where the answer is large. */
  storedAnswer: storedAnswerSchema.optional(),
  /** Wall-clock time after which the attempt no longer sends; an operator waits for it before `not-run`. */
  deadlineAt: z.number().optional(),
  /** Rises each time durable work is handed to another instance. */
  attempt: z.number().int().positive().optional(),
  /** The operator who resolved the claim. */
  resolvedBy: z.string().optional()
})
/** One claim as recorded in the log. */
export type Claim = z.infer<typeof claimSchema>

/** A closed segment as the head names it. Neither the name nor the contents ever change or come again. */
export const segmentNameSchema = z.strictObject({
  name: z.string().min(1),
  digest: z.string(),
  count: z.number().int().nonnegative(),
  sizeBytes: z.number().int().nonnegative(),
  /** Wall-clock time of closing: every claim in the segment was recorded before. */
  closedAt: z.number()
})
/** A closed segment as the head names it. */
export type SegmentName = z.infer<typeof segmentNameSchema>

/** The value under a segment's key. */
export const segmentSchema = z.array(claimSchema)

/** The value under a shard's head key. */
export const shardHeadSchema = z.strictObject({
  /** Names the write, so that a lost answer is settled by reading back. */
  writerToken: z.string(),
  /** Rises with each new owner. */
  epoch: z.number().int().nonnegative(),
  owner: instanceIdentitySchema,
  /** Closed segments, oldest first. */
  segments: z.array(segmentNameSchema).default([]),
  /** Records that are in no segment; each is newer than any record of the same claim in a segment. */
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
  deadlineAt?: number
  /** Most durable requests of the workspace that may be open at once in one shard; not part of the record. */
  maximumBacklog?: number
}

/** A report about a claimed attempt by its executor. */
export interface ClaimReport {
  workspace: string
  idempotencyKey: string
  attemptToken: string
  /** `released` only if the attempt was never sent and never will be. */
  state: 'released' | 'done' | 'unknown'
  answer?: KeptAnswer
  /** In place of `answer` where the answer is large; its chunks are written already. */
  storedAnswer?: StoredAnswer
  /** With `released`: the request of an attempt that may never have been recorded, or may be recorded only later. */
  abandoned?: ClaimRequest
}

/** An operator's word on a claim whose outcome is unknown. */
export interface ClaimResolution {
  workspace: string
  idempotencyKey: string
  outcome: 'ran' | 'not-run'
  author: string
  answer?: KeptAnswer
}

/** Answer to a claim request or report. */
export type ClaimReply =
  | { kind: 'granted' }
  | { kind: 'recorded' }
  | { kind: 'done', answer: KeptAnswer }
  /** The answer is kept in chunks, which the caller of the log reads. */
  | { kind: 'done-stored', storedAnswer: StoredAnswer }
  | { kind: 'in-progress', executor: InstanceIdentity }
  | { kind: 'unknown' }
  /** The key is older than the retention window, so whether it ran is no longer known; it is never run. */
  | { kind: 'expired' }
  /** The request ran; its answer is not kept. */
  | { kind: 'answer-not-kept' }
  /** The shard or the workspace's share of it is full. Nothing was recorded. */
  | { kind: 'overloaded', retryAfter: Milliseconds }
  /** An operator's `not-run` came while the attempt might still have sent. */
  | { kind: 'too-early', retryAfter: Milliseconds }
  | { kind: 'conflict' }
  | { kind: 'found', claim: Claim | undefined }
  /** Nothing was recorded, and nothing will be. */
  | { kind: 'not-owner' }
  /** Nothing was recorded, and nothing will be. */
  | { kind: 'unavailable', retryAfter: Milliseconds }
  /** It may be recorded, now or later. */
  | { kind: 'ambiguous', retryAfter: Milliseconds }

/** A message that its sender waits to have answered. */
export type ClaimCall = Extract<ClaimMessage, { callId: number }>

/** What a shard is told. */
export type ClaimMessage =
  | { kind: 'take-over' }
  /** The live members as believed here, and the wall-clock time for the retention window. Told about once a second. */
  | { kind: 'tick', wall: Milliseconds, live: readonly InstanceIdentity[] }
  | { kind: 'claim', callId: number, request: ClaimRequest }
  | { kind: 'report', callId: number, report: ClaimReport }
  | { kind: 'resolve', callId: number, resolution: ClaimResolution }
  | { kind: 'find', callId: number, workspace: string, idempotencyKey: string }
  /** The executor, in the incarnation that the claim names, has no such attempt and will never send it. */
  | { kind: 'attempt-denied', attemptToken: string }
  /** The delay that the shard asked for with `wake-after` is over. */
  | { kind: 'wake' }
  | { kind: 'head-read', head: ShardHead | undefined, revision: number }
  | { kind: 'head-read-failed' }
  | { kind: 'head-written', revision: number }
  | { kind: 'head-write-lost' }
  | { kind: 'head-write-ambiguous' }
  /** The segment's text, or `undefined` where the key does not exist. */
  | { kind: 'segment-read', name: string, text: string | undefined }
  | { kind: 'segment-read-failed', name: string }
  | { kind: 'segment-written', name: string }
  | { kind: 'segment-write-failed', name: string }

/** What a shard asks its driver to do. */
export type ClaimEffect =
  | { kind: 'read-head' }
  | { kind: 'write-head', head: ShardHead, expectedRevision: number }
  | { kind: 'read-segment', name: string }
  /** Create if absent. A key that exists already is our own earlier write, since a name never comes again. */
  | { kind: 'write-segment', name: string, text: string }
  /** No head names the segment any more. A removal that fails leaves an unused key behind and nothing worse. */
  | { kind: 'remove-segment', name: string }
  /** The record that named the answer is forgotten. A removal that fails leaves unused keys behind and nothing worse. */
  | { kind: 'remove-answer', storedAnswer: StoredAnswer }
  | { kind: 'reply', callId: number, reply: ClaimReply }
  /** Ask the claim's executor whether it knows the attempt; only a denial is told back. */
  | { kind: 'ask-executor', claim: Claim }
  | { kind: 'wake-after', delay: Milliseconds }
  /** Durable work whose executor is gone is now recorded as this instance's own. */
  | { kind: 'run-durable', claim: Claim }
