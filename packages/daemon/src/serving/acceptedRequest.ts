/** Requests after authentication and validation. */
import { z } from 'zod'
import type { KindConfiguration, Milliseconds, WorkspaceConfiguration } from '@wasabihead/coordination'

/** Schema of the model input, which is recorded for durable requests. */
export const modelInputSchema = z.strictObject({
  prompt: z.string(),
  maximumTokens: z.number().int().positive(),
  shape: z.enum(['text', 'chat'])
})
/** The prompt for a model, and the shape in which the caller gets the answer. */
export type ModelInput = z.infer<typeof modelInputSchema>
/** Name of a shape of completion answers. */
export type CompletionShapeName = ModelInput['shape']

/** A caller's request after authentication and validation. */
export interface AcceptedRequest {
  requestId: string
  workspace: WorkspaceConfiguration
  kind: KindConfiguration
  /** The request's body as JSON; the digest of its canonical form detects different requests with the same idempotency key. */
  body: string
  /** Set where the kind's target is a model. */
  modelInput?: ModelInput
  idempotencyKey?: string
  receivedAt: Milliseconds
  /** On the local monotonic clock, like `receivedAt`. */
  deadline: Milliseconds
}
