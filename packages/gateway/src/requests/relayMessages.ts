/** What instances tell each other about a request that one relays to another, in one header of the request and of its answer. */
import { streamOriginSchema } from '@wasabihead/coordination'
import * as z from 'zod'
import type { HeaderFields } from '../protocol/index.js'

/** Name of the header, in lower case. It applies to the connection between two instances only. */
export const RELAY_HEADER = 'wasabihead-relay'

const MAXIMUM_TRIED = 64

const relayedRequestSchema = z.object({
  /** Milliseconds until the deadline of the request. */
  timeLeft: z.number().nonnegative(),
  /** Store revision of the configuration that the sender matched the request with. */
  configurationRevision: z.number(),
  /** The era of the store in which it was given out; absent from builds that know no eras. */
  configurationEra: z.number().optional(),
  /** Number of replicas on which the request may have run so far. */
  possibleRuns: z.number().int().nonnegative(),
  /** Ids of these replicas. */
  tried: z.array(z.string()).max(MAXIMUM_TRIED),
  /** Whether the sender counts the request in its retry budget. */
  isCounted: z.boolean(),
  /** The last event that the caller has of the stream. */
  lastEventId: z.string().optional(),
  /** Where the stream began that the request goes on with. */
  origin: streamOriginSchema.optional()
})
/** What the sender of a relayed request tells its receiver. */
export type RelayedRequest = z.infer<typeof relayedRequestSchema>

const relayedAnswerSchema = z.object({
  requestId: z.string(),
  /** Number of replicas on which the request may have run, those before it was relayed included. */
  possibleRuns: z.number().int().nonnegative(),
  /** Whether the request was sent to any replica by the receiver, also where that replica did not run it. */
  hasArrived: z.boolean(),
  /** Why the receiver refused the request, which has not run there; absent in any other answer. */
  refusal: z.string().optional(),
  /** Milliseconds after which it may be sent again; only of a refusal. */
  retryAfter: z.number().nonnegative().optional(),
  /** Service and software version of the replica that answers. */
  origin: streamOriginSchema.optional()
})
/** What the receiver of a relayed request tells its sender. */
export type RelayedAnswer = z.infer<typeof relayedAnswerSchema>

/** Encodes a message for the header. */
export function formatRelayMessage (message: RelayedRequest | RelayedAnswer): string {
  return encodeURIComponent(JSON.stringify(message))
}

/** Decodes the header of a request; undefined if it is absent or malformed. */
export function readRelayedRequest (headers: HeaderFields): RelayedRequest | undefined {
  return parse(relayedRequestSchema, headers[RELAY_HEADER])
}

/** Decodes the header of an answer; undefined if it is absent or malformed. */
export function readRelayedAnswer (headers: HeaderFields): RelayedAnswer | undefined {
  return parse(relayedAnswerSchema, headers[RELAY_HEADER])
}

function parse<Schema extends z.ZodType> (schema: Schema, value: string | string[] | undefined): z.infer<Schema> | undefined {
  if (typeof value !== 'string') return undefined
  try {
    return schema.safeParse(JSON.parse(decodeURIComponent(value))).data
  } catch {
    return undefined
  }
}
