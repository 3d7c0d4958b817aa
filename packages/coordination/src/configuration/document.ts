/** Schema of the operators' document. Each environment has one; it is checked as a whole before it takes effect. */
import * as z from 'zod'

/** Longest source text in bytes of UTF-8; the platform's key-value service limits values to a megabyte. */
export const MAXIMUM_DOCUMENT_BYTES = 900_000

/**
 * Options for the YAML parser, the same wherever a document is read. Aliases are rejected, since a few nested ones can
 * expand beyond the available memory. Duplicate keys are rejected, since one of their values would be dropped silently.
 */
export const DOCUMENT_PARSER_OPTIONS = { maxAliasCount: 0, uniqueKeys: true, logLevel: 'error' } as const

const nameSchema = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'use 1 to 63 lower-case letters, digits and hyphens')
const addressSchema = z.url({ protocol: /^https?$/ })
const positiveInteger = z.number().int().positive()

const workspaceSchema = z.strictObject({
  name: nameSchema,
  /** SHA-256 digests of the callers' bearer tokens, in hexadecimal. */
  tokenDigests: z.array(z.string().regex(/^[0-9a-f]{64}$/, 'give a SHA-256 digest in lower-case hexadecimal')).min(1),
  /** Weight in fair sharing of the system's capacity. */
  share: z.number().positive().default(1),
  /** Most requests of the workspace that run concurrently on one instance. */
  maximumConcurrent: positiveInteger.default(64),
  /** Most accepted durable requests that wait in one claim shard at the same time. */
  maximumBacklog: positiveInteger.default(1_000),
  /** Kinds of requests that the workspace may use; all kinds where absent. */
  kinds: z.array(nameSchema).optional(),
  /** Balance between two costs of a route: 0 counts only the time to first token, 1 only the share of recomputed prompt work. */
  recomputeWeight: z.number().min(0).max(1).default(0)
})

const modelSchema = z.strictObject({
  name: nameSchema,
  weightVersions: z.array(nameSchema).min(1),
  activeWeightVersion: nameSchema,
  adapters: z.array(nameSchema).default([]),
  /** Prompt tokens in one cache block. */
  blockTokens: positiveInteger.default(2_000),
  /** Bytes of KV cache for one block. */
  blockBytes: positiveInteger.default(64_000_000),
  /** Prompt tokens that one replica computes in a second. */
  prefillTokensPerSecond: z.number().positive().default(8_000),
  /** Longest prompt that is accepted, in bytes of UTF-8. */
  maximumPromptBytes: positiveInteger.default(2_000_000)
})

const targetSchema = z.union([
  z.strictObject({ model: nameSchema, adapter: nameSchema.optional() }),
  z.strictObject({ service: nameSchema, path: z.string().startsWith('/') })
])

const kindSchema = z.strictObject({
  name: nameSchema,
  /** Whether a request may be retried, must be delivered eventually, or must run at most once. */
  treatment: z.enum(['idempotent', 'durable', 'at-most-once']),
  /** Interactive requests are scheduled before normal ones, and both before batch requests. */
  priority: z.enum(['interactive', 'normal', 'batch']).default('normal'),
  target: targetSchema,
  deadlineMilliseconds: positiveInteger.default(30_000)
})

const serviceSchema = z.strictObject({
  name: nameSchema,
  replicas: z.array(z.strictObject({ name: nameSchema, address: addressSchema, dataCentre: nameSchema })).min(1),
  /** Whether the service itself ignores a repeated call with the same idempotency key. */
  honoursIdempotencyKey: z.boolean().default(false)
})

const backendServerSchema = z.strictObject({
  name: nameSchema,
  address: addressSchema,
  dataCentre: nameSchema,
  model: nameSchema,
  /** Whether the server rejects an order with an outdated fencing number. */
  checksFencing: z.boolean()
})

const storeSchema = z.strictObject({
  name: nameSchema,
  address: addressSchema,
  dataCentre: nameSchema,
  memoryBytes: positiveInteger.default(64_000_000_000),
  diskBytes: positiveInteger.default(1_000_000_000_000),
  /** Bytes a second of the link between the store and the backend servers. */
  linkBytesPerSecond: positiveInteger.default(1_000_000_000)
})

/** Schema of the operators' document. */
export const configurationDocumentSchema = z.strictObject({
  workspaces: z.array(workspaceSchema).min(1),
  models: z.array(modelSchema).default([]),
  kinds: z.array(kindSchema).min(1),
  services: z.array(serviceSchema).default([]),
  backendServers: z.array(backendServerSchema).default([]),
  stores: z.array(storeSchema).default([])
})

/** The operators' document after its checks. */
export type ConfigurationDocument = z.infer<typeof configurationDocumentSchema>
/** A workspace of the document. */
export type WorkspaceConfiguration = z.infer<typeof workspaceSchema>
/** A model of the document. */
export type ModelConfiguration = z.infer<typeof modelSchema>
/** A kind of request of the document. */
export type KindConfiguration = z.infer<typeof kindSchema>
/** A service of the document that is not a model. */
export type ServiceConfiguration = z.infer<typeof serviceSchema>
/** A model engine replica of the document. */
export type BackendServerConfiguration = z.infer<typeof backendServerSchema>
/** A cache store of the document. */
export type StoreConfiguration = z.infer<typeof storeSchema>
