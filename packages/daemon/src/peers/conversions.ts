/** Conversions between the library's types and the peers' protocol. */
import { create } from '@bufbuild/protobuf'
import type { ClaimReply, ClaimReport, ClaimRequest, InstanceIdentity, Member } from '@wasabihead/coordination'
import {
  ClaimCallRequestSchema, ClaimCallResponseSchema, InstanceSchema, MemberEntrySchema, MemberState, ReportClaimRequestSchema,
  ReportedState, Treatment,
  type ClaimCallRequest, type ClaimCallResponse, type Instance, type MemberEntry, type ReportClaimRequest
} from './gen/wasabihead/v1/peer_pb.js'

const STATE_TO_WIRE = {
  alive: MemberState.ALIVE, suspect: MemberState.SUSPECT, leaving: MemberState.LEAVING, dead: MemberState.DEAD
} as const
const STATE_FROM_WIRE: Record<MemberState, Member['state']> = {
  [MemberState.UNSPECIFIED]: 'suspect',
  [MemberState.ALIVE]: 'alive',
  [MemberState.SUSPECT]: 'suspect',
  [MemberState.LEAVING]: 'leaving',
  [MemberState.DEAD]: 'dead'
}
const REPORTED_TO_WIRE = {
  released: ReportedState.RELEASED, done: ReportedState.DONE, unknown: ReportedState.UNKNOWN
} as const

/** An instance on the wire. */
export function instanceToWire (identity: InstanceIdentity): Instance {
  return create(InstanceSchema, { host: identity.host, incarnation: BigInt(identity.incarnation) })
}

/** An instance from the wire. */
export function instanceFromWire (instance: Instance | undefined): InstanceIdentity {
  return { host: instance?.host ?? '', incarnation: Number(instance?.incarnation ?? 0) }
}

/** A member on the wire. */
export function memberToWire (member: Member): MemberEntry {
  return create(MemberEntrySchema, {
    instance: instanceToWire(member),
    version: BigInt(member.version),
    dataCentre: member.dataCentre,
    peerAddress: member.peerAddress,
    callerAddress: member.callerAddress,
    state: STATE_TO_WIRE[member.state],
    configurationRevision: BigInt(member.configurationRevision)
  })
}

/** A member from the wire. */
export function memberFromWire (entry: MemberEntry): Member {
  return {
    ...instanceFromWire(entry.instance),
    version: Number(entry.version),
    dataCentre: entry.dataCentre,
    peerAddress: entry.peerAddress,
    callerAddress: entry.callerAddress,
    state: STATE_FROM_WIRE[entry.state],
    configurationRevision: Number(entry.configurationRevision)
  }
}

/** A claim request on the wire. */
export function claimRequestToWire (request: ClaimRequest): ClaimCallRequest {
  return create(ClaimCallRequestSchema, {
    ...request,
    treatment: request.treatment === 'durable' ? Treatment.DURABLE : Treatment.AT_MOST_ONCE,
    executor: instanceToWire(request.executor),
    recordedAt: BigInt(request.recordedAt)
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
  const state = report.state === ReportedState.RELEASED ? 'released' : report.state === ReportedState.DONE ? 'done' : 'unknown'
  return {
    workspace: report.workspace,
    idempotencyKey: report.idempotencyKey,
    attemptToken: report.attemptToken,
    state,
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
    default: return { kind: 'unavailable', retryAfter: 1_000 }
  }
}
