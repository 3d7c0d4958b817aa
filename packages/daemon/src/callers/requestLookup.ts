/** Look-ups of claimed requests by callers of the same workspace. */
import { RefusalError, type Claim, type ClaimReply, type KeptAnswer, type Milliseconds, type WorkspaceConfiguration } from '@wasabihead/coordination'

const UNAVAILABLE_RETRY_AFTER: Milliseconds = 1_000

/** State of a claimed request, as shown to its caller. */
export interface RequestReport {
  kind: string
  treatment: Claim['treatment']
  /** `claimed`: running or waiting; `released`: never sent; `done`: has run; `unknown`: may have run. */
  state: Claim['state']
  /** Absent if the request is not done, or its answer is not retained. */
  answer?: KeptAnswer
}

/** Finds the claim under a workspace's idempotency key. */
export type FindClaim = (workspace: string, idempotencyKey: string) => Promise<ClaimReply>

/** Looks up claimed requests; runs and records nothing. */
export class RequestLookup {
  /** @param _find reads a claim from the owner of its shard */
  constructor (private readonly _find: FindClaim) {}

  /** The request under a key of this workspace; throws a `RefusalError` if there is none or its claim cannot be read. */
  async read (workspace: WorkspaceConfiguration, idempotencyKey: string): Promise<RequestReport> {
    const reply = await this._find(workspace.name, idempotencyKey)
    if (reply.kind !== 'found') throw unavailable(reply)
    const { claim } = reply
    // Claims are stored under the workspace of the token, so keys of other workspaces are not found either.
    if (claim === undefined) throw notFound()
    const { kind, treatment, state, answer } = claim
    return { kind, treatment, state, ...(answer === undefined ? {} : { answer }) }
  }
}

function notFound (): RefusalError {
  return new RefusalError('not-found', 404, 'unknown', 'Your workspace has no retained request under this key',
    'Check the key; requests are removed after the retention window')
}

/** `notRun` is unknown: a failed look-up says nothing about the request, which may have run. */
function unavailable (reply: ClaimReply): RefusalError {
  const retryAfter = 'retryAfter' in reply ? reply.retryAfter : UNAVAILABLE_RETRY_AFTER
  return new RefusalError('service-unavailable', 503, 'unknown', 'The request cannot be looked up now',
    'Retry after the given delay', retryAfter)
}
