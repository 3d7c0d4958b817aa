/** A caller's request after authentication and checks. */
import type { KindConfiguration, Milliseconds, WorkspaceConfiguration } from '@wasabihead/coordination'

/** What a model is asked. */
export interface ModelInput {
  prompt: string
  maximumTokens: number
}

/** A caller's request after authentication and checks. */
export interface AcceptedRequest {
  requestId: string
  workspace: WorkspaceConfiguration
  kind: KindConfiguration
  /** The request's body as JSON; the digest of its canonical form tells two requests with one idempotency key apart. */
  body: string
  /** Set where the kind's target is a model. */
  modelInput?: ModelInput
  idempotencyKey?: string
  receivedAt: Milliseconds
  /** On the local monotonic clock. */
  deadline: Milliseconds
}
