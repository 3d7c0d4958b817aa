/** Conversions between the claim slice's types and the peers' protocol. */
import { create } from '@bufbuild/protobuf'
import {
  claimSchema,
  type Claim, type ClaimReply, type ClaimReport, type ClaimRequest, type ClaimResolution, type Milliseconds, type StoredAnswer
} from '@wasabihead/coordination'
import { instanceFromWire, instanceToWire } from '../peers/index.js'
import {
  ClaimCallRequestSchema, ClaimCallResponseSchema, ReportClaimRequestSchema, ReportedState, ResolveClaimRequestSchema, Treatment,
  type ClaimCallRequest, type ClaimCallResponse, type ReportClaimRequest, type ResolveClaimRequest,
  type StoredAnswer as WireStoredAnswer
} from '../peers/gen/wasabihead/v1/claims_pb.js'

const RETRY_AFTER_MILLISECONDS = 1_000
const REPORTED_TO_WIRE = {
  released: ReportedState.RELEASED, done: ReportedState.DONE, unknown: ReportedState.UNKNOWN
} as const
const REPORTED_FROM_WIRE: Record<ReportedState, ClaimReport['state']> = {
  [ReportedState.UNSPECIFIED]: 'unknown',
  [ReportedState.RELEASED]: 'released',
  [ReportedState.DONE]: 'done',
  [ReportedState.UNKNOWN]: 'unknown'
}

/** A claim request on the wire. */
export function claimRequestToWire (request: ClaimRequest): ClaimCallRequest {
  return create(ClaimCallRequestSchema, {
    ...request,
    treatment: request.treatment === 'durable' ? Treatment.DURABLE : Treatment.AT_MOST_ONCE,
    executor: instanceToWire(request.executor),
    recordedAt: BigInt(Math.round(request.recordedAt)),
    deadlineAt: request.deadlineAt === undefined ? undefined : BigInt(Math.round(request.deadlineAt))
  })
}

/** A claim request from the wire. */
export function claimRequestFromWire (request: ClaimCallRequest): ClaimRequest {
  return {
    workspace: request.workspace,
    idempotencyKey: request.idempotencyKey,
    kind: request.kind,
    treatment: request.treatment === Treatment.DURABLE ? 'durable' : 'at-most-once',
    requestDigest: request.requestDigest,
    attemptToken: request.attemptToken,
    executor: instanceFromWire(request.executor),
    recordedAt: Number(request.recordedAt),
    ...(request.request === undefined ? {} : { request: request.request }),
    ...(request.deadlineAt === undefined ? {} : { deadlineAt: Number(request.deadlineAt) }),
    ...(request.maximumBacklog === undefined ? {} : { maximumBacklog: request.maximumBacklog })
  }
}

/** A claim report on the wire. */
export function claimReportToWire (report: ClaimReport): ReportClaimRequest {
  return create(ReportClaimRequestSchema, {
    ...report,
    state: REPORTED_TO_WIRE[report.state],
    abandoned: report.abandoned === undefined ? undefined : claimRequestToWire(report.abandoned)
  })
}

/** A claim report from the wire; an unrecognized state counts as an unknown outcome. */
export function claimReportFromWire (report: ReportClaimRequest): ClaimReport {
  return {
    workspace: report.workspace,
    idempotencyKey: report.idempotencyKey,
    attemptToken: report.attemptToken,
    state: REPORTED_FROM_WIRE[report.state] ?? 'unknown',
    ...(report.answer === undefined ? {} : { answer: { status: report.answer.status, body: report.answer.body } }),
    ...(report.storedAnswer === undefined ? {} : { storedAnswer: storedAnswerFromWire(report.storedAnswer) }),
    ...(report.abandoned === undefined ? {} : { abandoned: claimRequestFromWire(report.abandoned) })
  }
}

/** An operator's resolution on the wire. */
export function resolutionToWire (resolution: ClaimResolution): ResolveClaimRequest {
  return create(ResolveClaimRequestSchema, { ...resolution, ran: resolution.outcome === 'ran' })
}

/** An operator's resolution from the wire. */
export function resolutionFromWire (resolution: ResolveClaimRequest): ClaimResolution {
  const { workspace, idempotencyKey, author, answer } = resolution
  return {
    workspace,
    idempotencyKey,
    author,
    outcome: resolution.ran ? 'ran' : 'not-run',
    ...(answer === undefined ? {} : { answer: { status: answer.status, body: answer.body } })
  }
}

/** A claim reply on the wire. */
export function claimReplyToWire (reply: ClaimReply): ClaimCallResponse {
  switch (reply.kind) {
    case 'granted': return create(ClaimCallResponseSchema, { reply: { case: 'granted', value: {} } })
    case 'recorded': return create(ClaimCallResponseSchema, { reply: { case: 'recorded', value: {} } })
    case 'done': return create(ClaimCallResponseSchema, { reply: { case: 'done', value: reply.answer } })
    case 'done-stored': return create(ClaimCallResponseSchema, { reply: { case: 'doneStored', value: reply.storedAnswer } })
    case 'in-progress':
      return create(ClaimCallResponseSchema, { reply: { case: 'inProgress', value: instanceToWire(reply.executor) } })
    case 'unknown': return create(ClaimCallResponseSchema, { reply: { case: 'unknown', value: {} } })
    case 'conflict': return create(ClaimCallResponseSchema, { reply: { case: 'conflict', value: {} } })
    case 'not-owner': return create(ClaimCallResponseSchema, { reply: { case: 'notOwner', value: {} } })
    case 'unavailable':
    case 'ambiguous':
    case 'overloaded':
      return create(ClaimCallResponseSchema, { reply: { case: reply.kind, value: delayToWire(reply.retryAfter) } })
    case 'too-early':
      return create(ClaimCallResponseSchema, { reply: { case: 'tooEarly', value: delayToWire(reply.retryAfter) } })
    case 'expired': return create(ClaimCallResponseSchema, { reply: { case: 'expired', value: {} } })
    case 'answer-not-kept': return create(ClaimCallResponseSchema, { reply: { case: 'answerNotKept', value: {} } })
    case 'found':
      return create(ClaimCallResponseSchema, {
        reply: { case: 'found', value: reply.claim === undefined ? {} : { record: JSON.stringify(reply.claim) } }
      })
  }
}

/** A claim reply from the wire; an unrecognized reply counts as ambiguous. */
export function claimReplyFromWire (response: ClaimCallResponse): ClaimReply {
  const reply = response.reply
  switch (reply.case) {
    case 'granted': return { kind: 'granted' }
    case 'recorded': return { kind: 'recorded' }
    case 'done': return { kind: 'done', answer: { status: reply.value.status, body: reply.value.body } }
    case 'doneStored': return { kind: 'done-stored', storedAnswer: storedAnswerFromWire(reply.value) }
    case 'inProgress': return { kind: 'in-progress', executor: instanceFromWire(reply.value) }
    case 'unknown': return { kind: 'unknown' }
    case 'conflict': return { kind: 'conflict' }
    case 'notOwner': return { kind: 'not-owner' }
    case 'unavailable':
    case 'ambiguous':
    case 'overloaded': return { kind: reply.case, retryAfter: reply.value.retryAfterMilliseconds }
    case 'tooEarly': return { kind: 'too-early', retryAfter: reply.value.retryAfterMilliseconds }
    case 'expired': return { kind: 'expired' }
    case 'answerNotKept': return { kind: 'answer-not-kept' }
    case 'found': return { kind: 'found', claim: claimFromRecord(reply.value.record) }
    default: return { kind: 'ambiguous', retryAfter: RETRY_AFTER_MILLISECONDS }
  }
}

function storedAnswerFromWire ({ name, status, digest, chunkCount }: WireStoredAnswer): StoredAnswer {
  return { name, status, digest, chunkCount }
}

function delayToWire (delay: Milliseconds): { retryAfterMilliseconds: number } {
  return { retryAfterMilliseconds: Math.ceil(delay) }
}

function claimFromRecord (record: string | undefined): Claim | undefined {
  return record === undefined ? undefined : claimSchema.parse(JSON.parse(record))
}
