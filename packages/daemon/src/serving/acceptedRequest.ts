/** A caller's request after authentication and checks. */
import { z } from 'zod'
import type { KindConfiguration, Milliseconds, WorkspaceConfiguration } from '@wasabihead/coordination'

/** What a model is asked and in which shape its answer goes to the caller; recorded for durable requests. */
export const modelInputSchema = z.strictObject({
  prompt: z.string(),
  maximumTokens: z.number().int().positive(),
  shape: z.enum(['text', 'chat'])
})
/** What a model is asked and in which shape its answer goes to the caller. */
export type ModelInput = z.infer<typeof modelInputSchema>
/** The shapes of completion answers. */
export type CompletionShapeName = ModelInput['shape']

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
