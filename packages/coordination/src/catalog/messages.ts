/** The routing configuration, the replicas and the weight versions, as the gateway knows them. */
import * as z from 'zod'

/**
 * What may be repeated: `safe` requests freely, `unsafe` ones never once sent, `streaming` ones only where the route says
 * that they can be resumed.
 */
export const requestKindSchema = z.enum(['safe', 'unsafe', 'streaming'])
/** What may be repeated. */
export type RequestKind = z.infer<typeof requestKindSchema>

/** A service that a route may send to, and its share among the route's services. */
export const routeTargetSchema = z.object({ service: z.string(), weight: z.number().nonnegative() })
/** A service that a route may send to. */
export type RouteTarget = z.infer<typeof routeTargetSchema>

/** How requests of one host and path prefix are treated. Durations are milliseconds. */
export const routeSchema = z.object({
  name: z.string(),
  host: z.string(),
  /** Begins and ends with a slash. */
  pathPrefix: z.string(),
  kind: requestKindSchema,
  targets: z.array(routeTargetSchema),
  /** How long a request may be kept waiting for its final answer. */
  timeout: z.number(),
  /** Within this an answer, or the first event of a stream, is on time. */
  objective: z.number(),
  /** The longest pause between two events of a stream that is on time. */
  longestPause: z.number().optional(),
  /** Most replicas that one request may be sent to. */
  maximumAttempts: z.number().int().positive(),
  /** 0 is the most urgent. */
  priority: z.number().int().nonnegative(),
  /** Whether requests need no API key. */
  isPublic: z.boolean(),
  isResumable: z.boolean()
})
/** How requests of one host and path prefix are treated. */
export type Route = z.infer<typeof routeSchema>

/** A model engine's published sizes. */
export const engineSchema = z.object({
  slots: z.number(),
  cacheTokens: z.number(),
  bytesPerToken: z.number(),
  linkMegabitsPerSecond: z.number(),
  models: z.array(z.string())
})
/** A model engine's published sizes. */
export type Engine = z.infer<typeof engineSchema>

/** A store of KV cache parts. */
export const cacheStoreSchema = z.object({
  address: z.string(),
  zone: z.string(),
  capacityTokens: z.number(),
  linkMegabitsPerSecond: z.number(),
  /** Delay before each transfer, in milliseconds. */
  firstDelay: z.number(),
  /** A managed store drops nothing by itself. */
  isManaged: z.boolean()
})
/** A store of KV cache parts. */
export type CacheStoreDescription = z.infer<typeof cacheStoreSchema>

/** A service of replicas, or a cache store. */
export const serviceSchema = z.object({
  name: z.string(),
  healthPath: z.string().optional(),
  /** Connections that a replica accepts from all its callers together. */
  maximumConnections: z.number().optional(),
  engine: engineSchema.optional(),
  cacheStore: cacheStoreSchema.optional()
})
/** A service of replicas, or a cache store. */
export type ServiceDescription = z.infer<typeof serviceSchema>

/** A customer's API keys and isolation. */
export const workspaceSchema = z.object({
  name: z.string(),
  keys: z.array(z.string()),
  /** Whether it shares no cached part with other workspaces. */
  isIsolated: z.boolean(),
  /** Replaces the route's priority. */
  priority: z.number().int().nonnegative().optional()
})
/** A customer's API keys and isolation. */
export type WorkspaceAccess = z.infer<typeof workspaceSchema>

/** What a caller may send, and how slowly. */
export const callerLimitsSchema = z.object({
  maximumHeaderBytes: z.number(),
  maximumBodyBytes: z.number(),
  headerTimeout: z.number(),
  idleTimeout: z.number()
})
/** What a caller may send, and how slowly. */
export type CallerLimits = z.infer<typeof callerLimitsSchema>

/** The whole routing configuration. */
export const routingConfigurationSchema = z.object({
  version: z.number(),
  routes: z.array(routeSchema),
  services: z.array(serviceSchema),
  /** Absent where requests carry no API keys. */
  workspaces: z.array(workspaceSchema).optional(),
  limits: callerLimitsSchema
})
/** The whole routing configuration. */
export type RoutingConfiguration = z.infer<typeof routingConfigurationSchema>

/** One run of a replica, as it registered itself. */
export const replicaSchema = z.object({
  id: z.string(),
  service: z.string(),
  /** IP address and port. */
  address: z.string(),
  zone: z.string(),
  slots: z.number(),
  isDraining: z.boolean(),
  /** Loaded weight version of each model. */
  weightVersions: z.record(z.string(), z.number()),
  /** Wall time of its start; tells two runs under one id apart. */
  startedAt: z.number()
})
/** One run of a replica. */
export type Replica = z.infer<typeof replicaSchema>

/** A value and the store's revision of its last change. */
export interface Revised<Value> {
  revision: number
  value: Value
}

/** A named weight version of a model. */
export const namedWeightVersionSchema = z.object({
  revision: z.number(),
  value: z.object({ model: z.string(), version: z.number() }),
  /** Where an instance tells it: for how many milliseconds it may have been named at the most; absent if that is not known. */
  age: z.number().optional()
})
/** A named weight version of a model. */
export type NamedWeightVersion = z.infer<typeof namedWeightVersionSchema>

/** Everything the store lists at one time; each entry carries the revision of its last change. */
export interface CatalogListing {
  configuration?: Revised<RoutingConfiguration> | undefined
  replicas: Revised<Replica>[]
  /** Named weight versions; several of one model where an instance tells what it remembers, the newest last. */
  weightVersions: NamedWeightVersion[]
}

/** A listing as one instance tells it to another. */
export const catalogListingSchema = z.object({
  configuration: z.object({ revision: z.number(), value: routingConfigurationSchema }).optional(),
  replicas: z.array(z.object({ revision: z.number(), value: replicaSchema })),
  weightVersions: z.array(namedWeightVersionSchema)
})
