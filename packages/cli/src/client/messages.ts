/** Responses of an instance's operators' address. Fields that the tool does not read are retained for `--json`. */
import { z } from 'zod'

/** A configuration as the environment stores it; revision 0 stands for none. */
export const storedConfigurationSchema = z.looseObject({
  revision: z.number(),
  digest: z.string().default(''),
  source: z.string().default(''),
  author: z.string().default(''),
  appliedAt: z.string().default('')
})
/** A configuration as the environment stores it; revision 0 stands for none. */
export type StoredConfiguration = z.infer<typeof storedConfigurationSchema>

/** Response to an accepted change. */
export const acceptedChangeSchema = z.looseObject({ revision: z.number(), digest: z.string() })

/** Body of a 409 response; `current` is the configuration that was accepted first. */
export const conflictSchema = z.looseObject({ current: storedConfigurationSchema.optional() })

/** Changes accepted so far, without their documents. */
export const historySchema = z.looseObject({
  changes: z.array(z.looseObject({ revision: z.number(), digest: z.string(), author: z.string(), appliedAt: z.string() }))
})

/** Members of the environment as the instance `self` sees them. */
export const membersSchema = z.looseObject({
  self: z.string(),
  members: z.array(z.looseObject({
    host: z.string(),
    dataCentre: z.string(),
    state: z.string(),
    callerAddress: z.string(),
    configurationRevision: z.number()
  }))
})

/** Status of one instance; percentiles are in milliseconds. */
export const statusSchema = z.looseObject({
  instance: z.looseObject({ host: z.string(), dataCentre: z.string(), environment: z.string(), state: z.string() }),
  configuration: z.looseObject({ revision: z.number(), digest: z.string() }),
  running: z.number(),
  members: z.array(z.looseObject({
    host: z.string(), dataCentre: z.string(), state: z.string(), configurationRevision: z.number()
  })),
  histograms: z.array(z.looseObject({
    workspace: z.string(),
    requestKind: z.string(),
    measure: z.string(),
    count: z.number(),
    p50: z.number(),
    p95: z.number(),
    p99: z.number()
  })),
  counters: z.array(z.looseObject({ workspace: z.string(), requestKind: z.string(), measure: z.string(), count: z.number() }))
})

/** Claims of at-most-once and durable requests. */
export const claimsSchema = z.looseObject({ claims: z.array(z.looseObject({ workspace: z.string(), state: z.string() })) })

/** Requests that are suspected to crash backend servers, or refused because they do. */
export const quarantineSchema = z.looseObject({
  entries: z.array(z.looseObject({
    fingerprint: z.string(), workspace: z.string(), kind: z.string(), state: z.string(), since: z.union([z.string(), z.number()])
  }))
})
