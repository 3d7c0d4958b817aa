/** Messages, records and effects of the claim log. */
import * as z from 'zod'
import { instanceIdentitySchema, type InstanceIdentity, type Milliseconds } from '../common/index.js'

/** A kept answer in one piece. */
export const keptAnswerSchema = z.strictObject({
  status: z.number().int(),
  body: z.string()
})
/** A kept answer in one piece. */
export type KeptAnswer = z.infer<typeof keptAnswerSchema>

/** A kept answer whose body is stored in chunks outside the log. */
export const storedAnswerSchema = z.strictObject({
  /** Names the chunks; never used again for other contents. */
  name: z.string().min(1),
  status: z.number().int(),
  digest: z.string(),
  chunkCount: z.number().int().positive()
})
/** A kept answer whose body is stored in chunks outside the log. */
export type StoredAnswer = z.infer<typeof storedAnswerSchema>

/** One claim as recorded in the log. */
export const claimSchema = z.strictObject({
  workspace: z.string(),
  idempotencyKey: z.string(),
  kind: z.string(),
  treatment: z.enum(['durable', 'at-most-once']),
  /** Digest of the request, by which another request under the same key is detected as a conflict. */
  requestDigest: z.string(),
  /** Identifies one attempt to run the request; only the instance that holds the token may send it. */
  attemptToken: z.string(),
  executor: instanceIdentitySchema,
  /** `released` means that no attempt was ever sent; `unknown` that one may have been. */
  state: z.enum(['claimed', 'released', 'done', 'unknown']),
  /** Wall-clock time of the first record, for the retention window and for operators. */
  recordedAt: z.number(),
  /** The request itself, kept for durable requests so that any instance can run them. */
  request: z.string().optional(),
  /** Absent from a claim that is done if the answer was too large to keep, or an operator resolved the claim without one. */
  answer: keptAnswerSchema.optional(),
  /** Used instead of `answer` for a large answer. */
  storedAnswer: storedAnswerSchema.optional(),
  /** Wall-clock time after which the attempt no longer sends; an operator waits for it before `not-run`. */
  deadlineAt: z.number().optional(),
  /** Number of the attempt, increased each time durable work is handed to another instance; 1 if absent. */
  attempt: z.number().int().positive().optional(),
  /** The operator who resolved the claim. */
  resolvedBy: z.string().optional()
})
/** One claim as recorded in the log. */
export type Claim = z.infer<typeof claimSchema>

/** Describes a closed segment in the head. Contents never change, and a name is never used again. */
export const segmentDescriptorSchema = z.strictObject({
  name: z.string().min(1),
  digest: z.string(),
  count: z.number().int().nonnegative(),
  sizeBytes: z.number().int().nonnegative(),
  /** Wall-clock time at which the segment was closed; every claim in it was recorded before. */
  closedAt: z.number()
})
/** Describes a closed segment in the head. */
export type SegmentDescriptor = z.infer<typeof segmentDescriptorSchema>

/** The value under a segment's key. */
export const segmentSchema = z.array(claimSchema)

/** The value under a shard's head key. */
export const shardHeadSchema = z.strictObject({
  /** Identifies the write, so that reading the head back shows whether a write without an answer succeeded. */
  writerToken: z.string(),
  /** Increases with each new owner. */
  epoch: z.number().int().nonnegative(),
  owner: instanceIdentitySchema,
  /** Closed segments, oldest first. */
  segments: z.array(segmentDescriptorSchema).default([]),
  /** Records that are in no segment. Each is newer than any record of the same claim in a segment. */
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
  /** Largest number of the workspace's durable requests that may be open in one shard. Not part of the record. */
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
  /** Used instead of `answer` for a large answer, after its chunks are written. */
  storedAnswer?: StoredAnswer
  /** With `released`: the claim request of the attempt, which may not be recorded, or only later. */
  abandoned?: ClaimRequest
}

/** An operator's decision on a claim whose outcome is unknown. */
export interface ClaimResolution {
  workspace: string
  idempotencyKey: string
  outcome: 'ran' | 'not-run'
  author: string
  answer?: KeptAnswer
}

/** Reply to a `ClaimCall`. */
export type ClaimReply =
  | { kind: 'granted' }
  | { kind: 'recorded' }
  | { kind: 'done', answer: KeptAnswer }
  /** The answer is stored in chunks, which the receiver of the reply reads. */
  | { kind: 'done-stored', storedAnswer: StoredAnswer }
  | { kind: 'in-progress', executor: InstanceIdentity }
  | { kind: 'unknown' }
  /** The key is outside the retention window, so it is unknown whether the request ran. It is not run. */
  | { kind: 'expired' }
  /** The request ran; its answer is not kept. */
  | { kind: 'answer-not-kept' }
  /** The shard, or the workspace's backlog in it, is full. Nothing was recorded. */
  | { kind: 'overloaded', retryAfter: Milliseconds }
  /** An operator's `not-run` was refused, since the attempt might still send. */
  | { kind: 'too-early', retryAfter: Milliseconds }
  | { kind: 'conflict' }
  | { kind: 'found', claim: Claim | undefined }
  /** Nothing was recorded, and nothing will be. */
  | { kind: 'not-owner' }
  /** Nothing was recorded, and nothing will be. */
  | { kind: 'unavailable', retryAfter: Milliseconds }
  /** The change may be recorded, now or later. */
  | { kind: 'ambiguous', retryAfter: Milliseconds }

/** A message that requires a `reply` effect with the same `callId`. */
export type ClaimCall = Extract<ClaimMessage, { callId: number }>

/** Input of a shard. */
export type ClaimMessage =
  | { kind: 'take-over' }
  /** The members observed as live, and the wall-clock time for the retention window. Sent about once a second. */
  | { kind: 'tick', wall: Milliseconds, live: readonly InstanceIdentity[] }
  | { kind: 'claim', callId: number, request: ClaimRequest }
  | { kind: 'report', callId: number, report: ClaimReport }
  | { kind: 'resolve', callId: number, resolution: ClaimResolution }
  | { kind: 'find', callId: number, workspace: string, idempotencyKey: string }
  /** The executor, in the incarnation that the claim names, does not know the attempt and will never send it. */
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

/** An action for the shard's driver to perform. */
export type ClaimEffect =
  | { kind: 'read-head' }
  | { kind: 'write-head', head: ShardHead, expectedRevision: number }
  | { kind: 'read-segment', name: string }
  /** Create the key if it is absent. A key that exists is from this instance's own earlier write, since names are unique. */
  | { kind: 'write-segment', name: string, text: string }
  /** No head names the segment any more. A failed removal only leaves an unused key behind. */
  | { kind: 'remove-segment', name: string }
  /** The record that named the answer is dropped. A failed removal only leaves unused keys behind. */
  | { kind: 'remove-answer', storedAnswer: StoredAnswer }
  | { kind: 'reply', callId: number, reply: ClaimReply }
  /** Ask the claim's executor whether it knows the attempt. Only a denial is passed in, as `attempt-denied`. */
  | { kind: 'ask-executor', claim: Claim }
  | { kind: 'wake-after', delay: Milliseconds }
  /** Run durable work that was taken over from another executor and is now recorded for this instance. */
  | { kind: 'run-durable', claim: Claim }
