/** What instances register in the store and send to each other. */
import * as z from 'zod'
import { crashUpdateSchema } from '../crashes/index.js'
import { catalogStatusSchema, announcedWeightVersionSchema } from '../catalog/index.js'

/** Several times the size of the largest fleet. */
const MAXIMUM_HEARD = 4_000

/** An instance as it registers itself in the store. */
export const frontRecordSchema = z.object({
  name: z.string(),
  /** Rises with each start on the same host: wall-clock time of the start in milliseconds. */
  incarnation: z.number(),
  zone: z.string(),
  region: z.string(),
  /** Where callers connect. */
  frontAddress: z.string(),
  /** Where other instances fetch the catalog. */
  controlAddress: z.string(),
  /** Where heartbeats are sent, over UDP, and requests are relayed, over TCP. */
  heartbeatAddress: z.string(),
  isLeaving: z.boolean(),
  /** Traffic that its machine can serve, in Mbit/s. Only in large fleets; absent from older builds. */
  capacity: z.number().nonnegative().optional(),
  /** Whether its build caches parts of prompts by `SharingGroups`; absent from older builds. */
  knowsSharingGroups: z.boolean().optional()
})
/** An instance as it registers itself in the store. */
export type FrontRecord = z.infer<typeof frontRecordSchema>

/** A heartbeat between instances. Field names are short since heartbeats are frequent. */
export const heartbeatSchema = z.object({
  /** The sender. Its whole record comes from the store, or from `named` of some heartbeats. */
  from: frontRecordSchema.pick({ name: true, incarnation: true, isLeaving: true, capacity: true }),
  isReady: z.boolean(),
  /** State of the sender's copy of the store. */
  catalog: catalogStatusSchema.optional(),
  /** Recently announced weight versions, each with the upper bound on its age that the sender knows. */
  namings: z.array(announcedWeightVersionSchema).default([]),
  /**
   * Records of known instances, the sender's among them, in rotation. A new instance learns of its peers without the store,
   * and of the incarnation of its own previous run.
   */
  named: z.array(frontRecordSchema),
  /**
   * Load of the sender on each replica, by its id: requests, prompt tokens before the first event, and memory tokens. Under
   * the address of a source of prompt parts: fetches, and their tokens.
   */
  loads: z.record(z.string(), z.tuple([z.number(), z.number(), z.number()])),
  /** Prompts sent since the last heartbeat: replica, salt, and the parts' ids and tokens. */
  sent: z.array(z.tuple([z.string(), z.string(), z.array(z.tuple([z.string(), z.number()]))])),
  /** Cache stores that the sender polls: epoch, age of the last answer, and events as [salt, part, tokens, is added]. */
  stores: z.array(z.object({
    address: z.string(),
    epoch: z.number(),
    age: z.number(),
    events: z.array(z.tuple([z.string(), z.string(), z.number(), z.boolean()]))
  })),
  /** How much longer than predicted the sender's fetches since the last heartbeat took: store, and milliseconds. */
  fetched: z.array(z.tuple([z.string(), z.number()])),
  /** Replicas that the sender has ordered to load weights. */
  loading: z.array(z.string()),
  /** Replicas that have recently loaded a weight version by order of the sender. */
  loaded: z.array(z.object({ replicaId: z.string(), model: z.string(), version: z.number() })),
  /** Runs of replicas that announced in an answer to the sender that they are leaving. */
  leaving: z.array(z.string()).default([]),
  /**
   * Rate limits that replicas stated in answers to the sender: run, requests per second (null where it no longer states a
   * limit), milliseconds since the answer was received, and milliseconds since its request was sent.
   */
  limits: z.array(z.tuple([
    z.string(), z.number().nonnegative().nullable(), z.number().nonnegative(), z.number().nonnegative()
  ])).default([]),
  /**
   * What replicas stated in answers to the sender about being cold: id, start of the run, milliseconds left (0 if it is not
   * cold), milliseconds since the answer was received, and milliseconds since its request was sent.
   */
  cold: z.array(z.tuple([
    z.string(), z.number(), z.number().nonnegative(), z.number().nonnegative(), z.number().nonnegative()
  ])).optional(),
  /**
   * What the sender learned of the pace of replicas: id, start of the run, epoch, requests over all instances (null once the pace
   * has ended), milliseconds since it was learned, and whether it holds for all instances.
   */
  paces: z.array(z.tuple([
    z.string(), z.number(), z.number().int().nonnegative(), z.number().int().positive().nullable(), z.number().nonnegative(),
    z.boolean()
  ])).optional().catch(undefined),
  /** The highest epoch of the rollout role that the sender knows of; the store may have lost its record. */
  rolloutEpoch: z.number().int().nonnegative().default(0),
  /** Services of which the sender can connect to no replica. */
  cutOff: z.array(z.string()).default([]),
  /** Large fleets: number of active instances in the sender's data centre, and the share of its machine that the sender uses. */
  active: z.object({ size: z.number().int().nonnegative(), utilization: z.number().nonnegative() }).optional(),
  /** Whether the sender knows of a change of the store that it lacks, so that instances that it hears may be ahead of it. */
  isBehind: z.boolean().optional(),
  /**
   * Live and ready instances that the sender hears: name, incarnation, milliseconds since their heartbeat, and capacity (null
   * from older builds).
   */
  heard: z.array(z.tuple([z.string(), z.number(), z.number().nonnegative(), z.number().nonnegative().nullable()]))
    .max(MAXIMUM_HEARD).optional(),
  ...crashUpdateSchema.shape
})
/** A heartbeat between instances. */
export type Heartbeat = z.infer<typeof heartbeatSchema>
