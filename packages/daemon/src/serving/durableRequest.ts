/** Reads a durable request back from the log, so that any instance can run it. */
import { v4 as createRequestId } from 'uuid'
import type { ClaimRequest, ConfigurationDocument, Milliseconds } from '@wasabihead/coordination'
import { modelInputSchema, type AcceptedRequest } from './acceptedRequest.js'

/** The text of a durable request for the log: what the model is asked, or the body for a service. */
export function recordDurableRequest (request: AcceptedRequest): string {
  return request.modelInput === undefined ? request.body : JSON.stringify(request.modelInput)
}

/** The request of a claim; `undefined` where the document has dropped its workspace or kind. */
export function readDurableRequest (
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
