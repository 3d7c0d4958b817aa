/** What the instances tell the store and each other about themselves. */
import * as z from 'zod'
import { catalogNewsSchema, namedWeightVersionSchema } from '../catalog/index.js'

/** An instance as it registers itself in the store. */
export const frontRecordSchema = z.object({
  name: z.string(),
  /** Rises with each start on the same host: wall time of the start in milliseconds. */
  incarnation: z.number(),
  zone: z.string(),
  region: z.string(),
  /** Where callers connect. */
  frontAddress: z.string(),
  /** Where other instances ask for the catalog. */
  controlAddress: z.string(),
  /** Where heartbeats are sent to, over UDP. */
  heartbeatAddress: z.string(),
  isLeaving: z.boolean()
})
/** An instance as it registers itself in the store. */
export type FrontRecord = z.infer<typeof frontRecordSchema>

/** A heartbeat between instances. Names are short since many are sent. */
export const heartbeatSchema = z.object({
  /** Who sends it; its record comes from the store, or among the named instances of some heartbeats. */
  from: frontRecordSchema.pick({ name: true, incarnation: true, isLeaving: true }),
  isReady: z.boolean(),
  /** The sender's copy of the store. */
  catalog: catalogNewsSchema.optional(),
  /** Weight versions named lately, and for how long the sender knows them to have been named at the most. */
  namings: z.array(namedWeightVersionSchema).default([]),
  /** Instances, the sender among them, in turn: a newcomer learns of them without the store, and of its own former run. */
  named: z.array(frontRecordSchema),
  /**
   * Load of the sender on each replica: requests, prompt tokens before the first event, memory tokens. For the address of a
   * source of prompt parts: fetches, and their tokens.
   */
  loads: z.record(z.string(), z.tuple([z.number(), z.number(), z.number()])),
  /** Prompts sent since the last heartbeat: replica, salt, and the parts' ids and tokens. */
  sent: z.array(z.tuple([z.string(), z.string(), z.array(z.tuple([z.string(), z.number()]))])),
  /** Cache stores that the sender asks: epoch, age of the last answer, and events as [salt, part, tokens, is added]. */
  stores: z.array(z.object({
    address: z.string(),
    epoch: z.number(),
    age: z.number(),
    events: z.array(z.tuple([z.string(), z.string(), z.number(), z.boolean()]))
  })),
  /** How much longer than predicted the sender's fetches took since the last heartbeat: store and milliseconds. */
  fetched: z.array(z.tuple([z.string(), z.number()])),
  /** Replicas that the sender has ordered to load weights. */
  loading: z.array(z.string()),
  /** Replicas that have loaded a weight version lately. */
  loaded: z.array(z.object({ replicaId: z.string(), model: z.string(), version: z.number() })),
  /** Runs of replicas that said in an answer to the sender that they leave. */
  leaving: z.array(z.string()).default([]),
  /**
   * Rates that replicas stated in answers to the sender: run, requests a second (null where it states none any more), and
   * how long ago the answer came and its request was sent, in milliseconds.
   */
  limits: z.array(z.tuple([
    z.string(), z.number().nonnegative().nullable(), z.number().nonnegative(), z.number().nonnegative()
  ])).default([]),
  /** Crashes of replicas, with the request under which they happened. */
  crashes: z.array(z.object({ fingerprint: z.string(), replicaRun: z.string() }))
})
/** A heartbeat between instances. */
export type Heartbeat = z.infer<typeof heartbeatSchema>
