/** Reads a durable request back from the log, so that any instance can run it. */
import { v4 as createRequestId } from 'uuid'
import { z } from 'zod'
import type { ClaimRequest, ConfigurationDocument, Milliseconds } from '@wasabihead/coordination'
import type { AcceptedRequest } from './acceptedRequest.js'

const DEFAULT_ANSWER_TOKENS = 16

const recordedInputSchema = z.object({
  prompt: z.string(),
  max_tokens: z.number().int().default(DEFAULT_ANSWER_TOKENS)
})

/** The request of a claim; `undefined` where the document has dropped its workspace or kind. */
export function readDurableRequest (
  claim: ClaimRequest, document: ConfigurationDocument | undefined, now: Milliseconds
): AcceptedRequest | undefined {
  const workspace = document?.workspaces.find(({ name }) => name === claim.workspace)
  const kind = document?.kinds.find(({ name }) => name === claim.kind)
  if (workspace === undefined || kind === undefined || claim.request === undefined) return undefined
  const input = 'model' in kind.target ? recordedInputSchema.parse(JSON.parse(claim.request)) : undefined
  return {
    requestId: createRequestId(),
    workspace,
    kind,
    body: claim.request,
    ...(input === undefined ? {} : { modelInput: { prompt: input.prompt, maximumTokens: input.max_tokens } }),
    idempotencyKey: claim.idempotencyKey,
    receivedAt: now,
    deadline: now + kind.deadlineMilliseconds
  }
}
