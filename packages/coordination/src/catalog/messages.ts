/** The routing configuration, the replicas and the weight versions, as the gateway knows them. */
import * as z from 'zod'

/**
 * How a request may be retried: `safe` requests freely, `unsafe` ones never once sent, `streaming` ones only where the
 * route is resumable.
 */
export const requestKindSchema = z.enum(['safe', 'unsafe', 'streaming'])
/** How a request may be retried. */
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
  /** Longest time until the final answer of a request. */
  timeout: z.number(),
  /** An answer, or the first event of a stream, is on time within this latency. */
  objective: z.number(),
  /** The longest pause between two events of a stream that is on time. */
  longestPause: z.number().optional(),
  /** The most replicas that one request may be sent to. */
  maximumAttempts: z.number().int().positive(),
  /** 0 is the most urgent. */
  priority: z.number().int().nonnegative(),
  /** Whether requests need no API key. */
  isPublic: z.boolean(),
  isResumable: z.boolean()
})
/** How requests of one host and path prefix are treated. */
export type Route = z.infer<typeof routeSchema>

/** Capacity of one replica of a model engine, as published. */
export const engineSchema = z.object({
  slots: z.number(),
  cacheTokens: z.number(),
  bytesPerToken: z.number(),
  linkMegabitsPerSecond: z.number(),
  models: z.array(z.string())
})
/** Capacity of one replica of a model engine, as published. */
export type Engine = z.infer<typeof engineSchema>

/** A store of KV cache parts. */
export const cacheStoreSchema = z.object({
  address: z.string(),
  zone: z.string(),
  capacityTokens: z.number(),
  linkMegabitsPerSecond: z.number(),
  /** Delay before each transfer, in milliseconds. */
  firstDelay: z.number(),
  /** A managed store evicts nothing by itself. */
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
  /** How long a replica that has started during traffic stays cold, in milliseconds; absent where it never is. */
  coldFor: z.number().optional(),
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

/** Limits on the size and the pace of a caller's request. Durations are milliseconds. */
export const callerLimitsSchema = z.object({
  maximumHeaderBytes: z.number(),
  maximumBodyBytes: z.number(),
  headerTimeout: z.number(),
  idleTimeout: z.number()
})
/** Limits on the size and the pace of a caller's request. */
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
  /** Version of its software; absent where the replica does not state one. */
  softwareVersion: z.string().optional(),
  /** Loaded weight version of each model. */
  weightVersions: z.record(z.string(), z.number()),
  /** Wall-clock time of the start; distinguishes two runs under one id. */
  startedAt: z.number()
})
/** One run of a replica. */
export type Replica = z.infer<typeof replicaSchema>

/** A value and the store's revision of its last change. */
export interface Revised<Value> {
  /** The era of the store in which the revision was given out; absent where the store states none. */
  era?: number | undefined
  revision: number
  value: Value
}

/** An announced weight version of a model. */
export const announcedWeightVersionSchema = z.object({
  revision: z.number(),
  value: z.object({ model: z.string(), version: z.number() }),
  /** Where an instance sends it: upper bound on the milliseconds since its announcement; absent if not known. */
  age: z.number().optional()
})
/** An announced weight version of a model. */
export type AnnouncedWeightVersion = z.infer<typeof announcedWeightVersionSchema>

/** Everything the store lists at one time; each entry carries the revision of its last change. */
export interface CatalogListing {
  /** The era of the store that was listed; absent where it states none, and where an instance sends what it knows. */
  era?: number | undefined
  configuration?: Revised<RoutingConfiguration> | undefined
  replicas: Revised<Replica>[]
  /** Announced weight versions, newest last; several of one model where an instance sends its retained history. */
  weightVersions: AnnouncedWeightVersion[]
}

/** A listing as one instance sends it to another. */
export const catalogListingSchema = z.object({
  configuration: z.object({ era: z.number().optional(), revision: z.number(), value: routingConfigurationSchema }).optional(),
  replicas: z.array(z.object({ era: z.number().optional(), revision: z.number(), value: replicaSchema })),
  weightVersions: z.array(announcedWeightVersionSchema)
})
