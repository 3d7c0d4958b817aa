/** Serializes durable requests for the log and parses them again, so that any instance can run them. */
import { v4 as createRequestId } from 'uuid'
import type { ClaimRequest, ConfigurationDocument, Milliseconds } from '@wasabihead/coordination'
import { modelInputSchema, type AcceptedRequest } from './acceptedRequest.js'

/** The log's text of a durable request: its model input as JSON, or the body for a service. */
export function serializeDurableRequest (request: AcceptedRequest): string {
  return request.modelInput === undefined ? request.body : JSON.stringify(request.modelInput)
}

/**
 * Rebuilds the request of a claim, with a new request id and deadline. Undefined where the document lacks its workspace or kind,
 * or where the claim has no recorded request. Throws if a recorded model input does not match its schema.
 */
export function parseDurableRequest (
  claim: ClaimRequest, document: ConfigurationDocument | undefined, now: Milliseconds
): AcceptedRequest | undefined {
  const workspace = document?.workspaces.find(({ name }) => name === claim.workspace)
  const kind = document?.kinds.find(({ name }) => name === claim.kind)
  if (workspace === undefined || kind === undefined || claim.request === undefined) return undefined
  const modelInput = 'model' in kind.target ? modelInputSchema.parse(JSON.parse(claim.request)) : undefined
  return {
    requestId: createRequestId(),
    workspace,
    kind,
    body: claim.request,
    ...(modelInput === undefined ? {} : { modelInput }),
    idempotencyKey: claim.idempotencyKey,
    receivedAt: now,
    deadline: now + kind.deadlineMilliseconds
  }
}
