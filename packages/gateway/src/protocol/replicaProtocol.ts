/** The protocol between the gateway and replicas or cache stores; the adapter defines its names on the wire. */
import type { Milliseconds, Replica, ReplicaReport, StoreAnswer, WeightOrder } from '@wasabihead/coordination'
import type { HeaderFields } from './callerProtocol.js'

/** What the gateway adds to a forwarded request. */
export interface ForwardFields {
  /** Only this run of the replica may accept the request. */
  replicaId: string
  /** Time until the deadline of the request. */
  timeLeft: Milliseconds
  workspace: string | undefined
  /** 0 is the most urgent. */
  priority: number | undefined
  /** Namespace of the cached prompt parts. */
  salt: string | undefined
  /** Only a replica with this weight version may accept the request. */
  weightVersion: number | undefined
  /** For each prompt part, the address that it may be fetched from. */
  sources: readonly (string | undefined)[] | undefined
  /** For each prompt part, the store that it is saved to. */
  saves: readonly (string | undefined)[] | undefined
  /** Deadline of the fetches, on the stores' clock. */
  fetchUntil: Milliseconds | undefined
  /** The stream resumes after this event. */
  lastEventId: string | undefined
}

/** Requests per second as stated by a replica; `unreadable` if the stated value is not a rate. */
export type StatedRate = number | 'unreadable'

/** The decoded head of a replica's answer. */
export interface AnswerFacts {
  requestId: string | undefined
  /** The replica states that it did not run the request and never will. */
  isNotRun: boolean
  /** Whether the answer has the replica's seal; an answer without it does not come from the replica. */
  isSealed: boolean
  /** Whether the replica announces that it is leaving. */
  isLeaving: boolean
  /** If the replica refused the request: for how long this instance must send it no requests. */
  retryAfter: Milliseconds | undefined
  /** Requests per second that the replica accepts from all instances together; undefined if it states no limit. */
  rateLimit: StatedRate | undefined
  /** How much longer the replica is cold, 0 if it is not; undefined if the answer does not say. */
  coldLeft?: Milliseconds | undefined
  /** Loaded weight version; undefined if the answer does not state it. */
  weightVersion: number | undefined
}

/** A call of the gateway's own to a replica or cache store, apart from forwarded requests. An empty body is not sent. */
export interface ReplicaCall {
  method: string
  path: string
  headers: [string, string][]
  body: string
  /** A longer answer is not read to its end. */
  maximumAnswerBytes: number
}

/** Encodes requests to replicas and cache stores, and decodes their answers. */
export abstract class ReplicaProtocol {
  /** Headers that are added to a forwarded request. */
  abstract forwardHeaders (fields: ForwardFields): [string, string][]

  /** Decodes the head of an answer to a forwarded request. */
  abstract readAnswer (status: number, headers: HeaderFields): AnswerFacts

  /** Requests a replica's report. */
  abstract reportCall (replica: Replica): ReplicaCall

  /** Decodes a report; undefined if the body is malformed. */
  abstract readReport (body: string): ReplicaReport | undefined

  /**
   * Orders a replica to load a weight version.
   * @param holder the instance that holds the rollout role
   * @param fencingNumber epoch of the holder's lease
   * @param orderCount the order is valid only while the replica has accepted this many orders
   */
  abstract orderCall (order: WeightOrder, holder: string, fencingNumber: number, orderCount: number): ReplicaCall

  /**
   * Requests a store's events from `next` on.
   * @param wait how long the store may delay its answer while it has no such events
   */
  abstract storeEventsCall (next: number, wait: Milliseconds): ReplicaCall

  /** Decodes a store's events; undefined if the body is malformed. */
  abstract readStoreEvents (body: string): StoreAnswer | undefined

  /** Requests the list of all parts in a store. */
  abstract storeListCall (): ReplicaCall

  /** Decodes a store's list; undefined if the body is malformed. */
  abstract readStoreList (body: string): StoreAnswer | undefined

  /**
   * Requests a store to free parts, which it does only while it is in the given epoch.
   * @param until time on the clock of the stores, in milliseconds, after which it frees nothing; at any time by default
   */
  abstract freeCall (
    parts: readonly (readonly [salt: string, partId: string])[], epoch: number, until?: Milliseconds
  ): ReplicaCall

  /** Whether the status of the answer to an order says that the order is being executed or that its version is loaded. */
  abstract isOrderAccepted (status: number): boolean
}
