/** What the operators' address answers. Fields that the tool does not read are kept for `--json`. */
import { z } from 'zod'

/** A configuration as kept by the environment; revision 0 stands for none. */
export const keptConfigurationSchema = z.looseObject({
  revision: z.number(),
  digest: z.string().default(''),
  source: z.string().default(''),
  author: z.string().default(''),
  appliedAt: z.string().default('')
})
/** A configuration as kept by the environment. */
export type KeptConfiguration = z.infer<typeof keptConfigurationSchema>

/** The answer to an accepted change. */
export const acceptedChangeSchema = z.looseObject({ revision: z.number(), digest: z.string() })

/** The body of a conflict. */
export const conflictSchema = z.looseObject({ current: keptConfigurationSchema.optional() })

/** Changes accepted so far. */
export const historySchema = z.looseObject({
  changes: z.array(z.looseObject({ revision: z.number(), digest: z.string(), author: z.string(), appliedAt: z.string() }))
})

/** Members as one instance sees them. */
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

/** One instance's read-out. */
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

/** Requests that may run no more because they crash backend servers. */
export const quarantineSchema = z.looseObject({
  entries: z.array(z.looseObject({
    fingerprint: z.string(), workspace: z.string(), kind: z.string(), state: z.string(), since: z.union([z.string(), z.number()])
  }))
})
