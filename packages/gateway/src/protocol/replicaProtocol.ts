/** How replicas are asked; the names on the wire belong to the adapter. */
import type { Milliseconds, Replica, ReplicaReport, StoreAnswer, WeightOrder } from '@wasabihead/coordination'
import type { HeaderFields } from './callerProtocol.js'

/** What the gateway adds to a request that it passes on. */
export interface ForwardFields {
  /** Only this run of the replica may take the request. */
  replicaId: string
  timeLeft: Milliseconds
  workspace: string | undefined
  /** 0 is the most urgent. */
  priority: number | undefined
  /** Namespace of the cached prompt parts. */
  salt: string | undefined
  /** Only a replica with this weight version may take the request. */
  weightVersion: number | undefined
  /** For each prompt part the address that it may be fetched from. */
  sources: readonly (string | undefined)[] | undefined
  /** For each prompt part the store that it is saved to. */
  saves: readonly (string | undefined)[] | undefined
  /** When fetches must have ended, on the stores' clock. */
  fetchUntil: Milliseconds | undefined
  /** The stream goes on after this event. */
  lastEventId: string | undefined
}

/** A rate as a replica stated it; `unreadable` where what it wrote is no rate. */
export type StatedRate = number | 'unreadable'

/** What the head of a replica's answer says. */
export interface AnswerFacts {
  requestId: string | undefined
  /** The replica states that it did not run the request and never will. */
  isNotRun: boolean
  /** Whether the replica put its seal on the answer; one without it is not the replica's. */
  isSealed: boolean
  /** Whether the replica says that it leaves. */
  isLeaving: boolean
  /** Where the replica turned the request away: for how long it wants no request of this instance. */
  retryAfter: Milliseconds | undefined
  /** Requests a second that the replica takes from all instances together; undefined where it states no limit. */
  rateLimit: StatedRate | undefined
  /** Loaded weight version, where the answer names it. */
  weightVersion: number | undefined
}

/** A small call to a replica, outside callers' requests. */
export interface ReplicaCall {
  method: string
  path: string
  headers: [string, string][]
  body: string
}

/** Encodes what is sent to replicas and decodes what they answer. */
export abstract class ReplicaProtocol {
  /** Headers that are added to a passed-on request. */
  abstract forwardHeaders (fields: ForwardFields): [string, string][]

  /** Decodes an answer's head. */
  abstract readAnswer (status: number, headers: HeaderFields): AnswerFacts

  /** Asks a replica for its report. */
  abstract reportCall (replica: Replica): ReplicaCall

  /** Decodes a report; undefined where the body is none. */
  abstract readReport (body: string): ReplicaReport | undefined

  /** The order to load a weight version, valid only while the replica has accepted `orderCount` orders. */
  abstract orderCall (order: WeightOrder, holder: string, fencingNumber: number, orderCount: number): ReplicaCall

  /** Asks a store for its events from `next` on; it may hold the question until it has some. */
  abstract storeEventsCall (next: number, wait: Milliseconds): ReplicaCall

  /** Decodes a store's events; undefined where the body is no such answer. */
  abstract readStoreEvents (body: string): StoreAnswer | undefined

  /** Asks a store for all that it holds. */
  abstract storeListCall (): ReplicaCall

  /** Decodes a store's list. */
  abstract readStoreList (body: string): StoreAnswer | undefined

  /** Frees parts of a store, only while it is in the given epoch. */
  abstract freeCall (parts: readonly (readonly [salt: string, partId: string])[], epoch: number): ReplicaCall

  /** Whether the order is being carried out or already holds. */
  abstract isOrderAccepted (status: number): boolean
}
