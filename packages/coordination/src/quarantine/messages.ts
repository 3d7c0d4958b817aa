/** What is kept and told about requests that crash backend servers. */
import * as z from 'zod'
import { contentDigest, instanceIdentitySchema } from '../common/index.js'

/**
 * `suspect`: ran on a replica as it crashed, and may run only as the one trial of its model. `quarantined`: crashed again
 * in its trial, and runs no more. `cleared`: ran whole, or was released by an operator.
 */
export const quarantineStateSchema = z.enum(['cleared', 'suspect', 'quarantined'])
/** State of a request. */
export type QuarantineState = z.infer<typeof quarantineStateSchema>

/** What is known of one request. The higher version wins; of two with one version, the stricter state. */
export const quarantineEntrySchema = z.strictObject({
  fingerprint: z.string().min(1),
  workspace: z.string(),
  kind: z.string(),
  model: z.string(),
  state: quarantineStateSchema,
  version: z.number().int().positive(),
  /** Trials whose holder vanished before it told how they ended. */
  abandonedTrials: z.number().int().nonnegative(),
  /** Wall time of the last change in milliseconds; only for operators and for the expiry. */
  since: z.number()
})
/** What is known of one request. */
export type QuarantineEntry = z.infer<typeof quarantineEntrySchema>

/** The one trial of a model: who holds it, for which request. */
export const quarantineTrialSchema = z.strictObject({
  token: z.string(), fingerprint: z.string(), holder: instanceIdentitySchema
})
/** The one trial of a model. */
export type QuarantineTrial = z.infer<typeof quarantineTrialSchema>

/** What the key-value service keeps for each model. */
export const quarantineRecordSchema = z.strictObject({
  entries: z.array(quarantineEntrySchema), trial: quarantineTrialSchema.optional()
})
/** What the key-value service keeps for each model. */
export type QuarantineRecord = z.infer<typeof quarantineRecordSchema>

/** The request that an entry speaks of. */
export interface QuarantineSubject {
  fingerprint: string
  workspace: string
  kind: string
  model: string
}

/** The request's identity across re-sends: its workspace, kind and body, and not the caller's key. */
export function fingerprintOf (workspace: string, kind: string, body: string): string {
  return contentDigest(JSON.stringify([workspace, kind, body]))
}
