/** Tells a caller what became of a claimed request of its own workspace. */
import { RefusalError, type Claim, type ClaimReply, type KeptAnswer, type Milliseconds, type WorkspaceConfiguration } from '@wasabihead/coordination'

const UNAVAILABLE_RETRY_AFTER: Milliseconds = 1_000

/** A claimed request as its caller sees it. */
export interface RequestReport {
  kind: string
  treatment: Claim['treatment']
  /** `claimed` runs or waits; `released` was never sent; `done` ran; `unknown` may have run. */
  state: Claim['state']
  /** Absent where the request is not done, or its answer is not kept. */
  answer?: KeptAnswer
}

/** Finds the claim under a workspace's idempotency key. */
export type FindClaim = (workspace: string, idempotencyKey: string) => Promise<ClaimReply>

/** Looks claimed requests up; nothing is run or recorded. */
export class RequestLookup {
  /** @param _find finds a claim at the owner of its shard */
  constructor (private readonly _find: FindClaim) {}

  /** The request under a key of this workspace; throws a `RefusalError` where there is none or it cannot be said. */
  async read (workspace: WorkspaceConfiguration, idempotencyKey: string): Promise<RequestReport> {
    const reply = await this._find(workspace.name, idempotencyKey)
    if (reply.kind !== 'found') throw unavailable(reply)
    const { claim } = reply
    // Claims are filed under the workspace of the token, so another workspace's key is not found either.
    if (claim === undefined) throw notFound()
    const { kind, treatment, state, answer } = claim
    return { kind, treatment, state, ...(answer === undefined ? {} : { answer }) }
  }
}

function notFound (): RefusalError {
  return new RefusalError('not-found', 404, 'unknown', 'Your workspace has no request under this key that is still kept',
    'Check the key; a key older than the retention window is no longer known')
}

/** This look-up tells nothing about the request, which may well have run. */
function unavailable (reply: ClaimReply): RefusalError {
  const retryAfter = 'retryAfter' in reply ? reply.retryAfter : UNAVAILABLE_RETRY_AFTER
  return new RefusalError('service-unavailable', 503, 'unknown', 'The request cannot be looked up now',
    'Ask again after the time given', retryAfter)
}
