/** Conversions between the claim slice's types and the peers' protocol. */
import { create } from '@bufbuild/protobuf'
import type { ClaimReply, ClaimReport, ClaimRequest } from '@wasabihead/coordination'
import { instanceFromWire, instanceToWire } from '../peers/index.js'
import {
  ClaimCallRequestSchema, ClaimCallResponseSchema, ReportClaimRequestSchema, ReportedState, Treatment,
  type ClaimCallRequest, type ClaimCallResponse, type ReportClaimRequest
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
    recordedAt: BigInt(Math.round(request.recordedAt))
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
    ...(request.request === undefined ? {} : { request: request.request })
  }
}

/** A claim report on the wire. */
export function claimReportToWire (report: ClaimReport): ReportClaimRequest {
  return create(ReportClaimRequestSchema, { ...report, state: REPORTED_TO_WIRE[report.state] })
}

/** A claim report from the wire; a state that is not known counts as an unknown outcome. */
export function claimReportFromWire (report: ReportClaimRequest): ClaimReport {
  return {
    workspace: report.workspace,
    idempotencyKey: report.idempotencyKey,
    attemptToken: report.attemptToken,
    state: REPORTED_FROM_WIRE[report.state] ?? 'unknown',
    ...(report.answer === undefined ? {} : { answer: { status: report.answer.status, body: report.answer.body } })
  }
}

/** A claim reply on the wire. */
export function claimReplyToWire (reply: ClaimReply): ClaimCallResponse {
  switch (reply.kind) {
    case 'granted': return create(ClaimCallResponseSchema, { reply: { case: 'granted', value: {} } })
    case 'recorded': return create(ClaimCallResponseSchema, { reply: { case: 'recorded', value: {} } })
    case 'done': return create(ClaimCallResponseSchema, { reply: { case: 'done', value: reply.answer } })
    case 'in-progress':
      return create(ClaimCallResponseSchema, { reply: { case: 'inProgress', value: instanceToWire(reply.executor) } })
    case 'unknown': return create(ClaimCallResponseSchema, { reply: { case: 'unknown', value: {} } })
    case 'conflict': return create(ClaimCallResponseSchema, { reply: { case: 'conflict', value: {} } })
    case 'not-owner': return create(ClaimCallResponseSchema, { reply: { case: 'notOwner', value: {} } })
    case 'unavailable':
      return create(ClaimCallResponseSchema, {
        reply: { case: 'unavailable', value: { retryAfterMilliseconds: reply.retryAfter } }
      })
  }
}

/** A claim reply from the wire; a reply that is not understood counts as unavailable. */
export function claimReplyFromWire (response: ClaimCallResponse): ClaimReply {
  const reply = response.reply
  switch (reply.case) {
    case 'granted': return { kind: 'granted' }
    case 'recorded': return { kind: 'recorded' }
    case 'done': return { kind: 'done', answer: { status: reply.value.status, body: reply.value.body } }
    case 'inProgress': return { kind: 'in-progress', executor: instanceFromWire(reply.value) }
    case 'unknown': return { kind: 'unknown' }
    case 'conflict': return { kind: 'conflict' }
    case 'notOwner': return { kind: 'not-owner' }
    case 'unavailable': return { kind: 'unavailable', retryAfter: reply.value.retryAfterMilliseconds }
    default: return { kind: 'unavailable', retryAfter: RETRY_AFTER_MILLISECONDS }
  }
}
