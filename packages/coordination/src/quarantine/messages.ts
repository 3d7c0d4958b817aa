/** Schemas of what is stored and gossiped about requests that crash backend servers. */
import * as z from 'zod'
import { contentDigest, instanceIdentitySchema } from '../common/index.js'

/**
 * `suspect`: was running on a replica that crashed, and may run only as the single trial of its model. `quarantined`: its
 * trial crashed or was abandoned too often, and it is no longer run. `cleared`: its trial completed, or an operator released it.
 */
export const quarantineStateSchema = z.enum(['cleared', 'suspect', 'quarantined'])
/** State of a request with respect to crashes. */
export type QuarantineState = z.infer<typeof quarantineStateSchema>

/** What is known of one request. The entry with the higher version wins; at equal versions, the one with the stricter state. */
export const quarantineEntrySchema = z.strictObject({
  fingerprint: z.string().min(1),
  workspace: z.string(),
  kind: z.string(),
  model: z.string(),
  state: quarantineStateSchema,
  version: z.number().int().positive(),
  /** Count of trials whose holder disappeared without reporting how they ended. */
  abandonedTrials: z.number().int().nonnegative(),
  /** Wall time of the last change in milliseconds since the Unix epoch; used only for display and expiry. */
  since: z.number()
})
/** What is known of one request. */
export type QuarantineEntry = z.infer<typeof quarantineEntrySchema>

/** The single trial of a model: its holder, and the request that it runs. */
export const quarantineTrialSchema = z.strictObject({
  token: z.string(), fingerprint: z.string(), holder: instanceIdentitySchema
})
/** The single trial of a model. */
export type QuarantineTrial = z.infer<typeof quarantineTrialSchema>

/** The record that the key-value service stores for each model. */
export const quarantineRecordSchema = z.strictObject({
  entries: z.array(quarantineEntrySchema), trial: quarantineTrialSchema.optional()
})
/** The record that the key-value service stores for each model. */
export type QuarantineRecord = z.infer<typeof quarantineRecordSchema>

/** The request that an entry refers to. */
export interface QuarantineSubject {
  fingerprint: string
  workspace: string
  kind: string
  model: string
}

/** Identifies a request across resends by its workspace, kind and body; the caller's idempotency key is not part of it. */
export function fingerprintOf (workspace: string, kind: string, body: string): string {
  return contentDigest(JSON.stringify([workspace, kind, body]))
}
