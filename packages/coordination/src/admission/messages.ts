/** Messages to the admission queue, and the effects that it returns. */
import type { Milliseconds } from '../common/index.js'
import type { RefusalError } from './errors.js'

/** Request classes, highest priority first. */
export const REQUEST_CLASSES = ['interactive', 'normal', 'batch'] as const

/** Class of a request; durable work runs as batch. */
export type RequestClass = typeof REQUEST_CLASSES[number]

/** A request that waits for admission. */
export interface AdmissionEntry {
  /** Unique on this instance. */
  id: number
  workspace: string
  /** Weight of the workspace in fair queueing; greater than 0. */
  share: number
  /** Maximum number of concurrent requests of the workspace on this instance. */
  maximumConcurrent: number
  requestClass: RequestClass
  requestKind: string
  /** Point on the local monotonic clock. */
  deadline: Milliseconds
}

/** How a running request ended: `overloaded` if the backend servers had no capacity for it, `failed` on any other fault. */
export type RunOutcome = 'answered' | 'overloaded' | 'failed'

/** An input of the admission queue. */
export type AdmissionMessage =
  | { kind: 'enter', entry: AdmissionEntry }
  | { kind: 'leave', id: number, outcome: RunOutcome }
  /** The caller disconnected; the request may be waiting or running. */
  | { kind: 'cancel', id: number }
  | { kind: 'wake' }

/** An action for the caller of the queue. Each entry is admitted or refused once, or neither after its `cancel`. */
export type AdmissionEffect =
  | { kind: 'admit', id: number }
  | { kind: 'refuse', id: number, refusal: RefusalError }
  /** Send `wake` at this time; a later effect of this kind replaces it. */
  | { kind: 'wake-at', at: Milliseconds }
