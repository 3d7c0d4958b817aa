/** Messages and effects of admission. */
import type { Milliseconds } from '../common/index.js'
import type { RefusalError } from './errors.js'

/** Classes in the order of their precedence. */
export const REQUEST_CLASSES = ['interactive', 'normal', 'batch'] as const

/** Class of a request; durable work runs as batch. */
export type RequestClass = typeof REQUEST_CLASSES[number]

/** A request that asks to run. */
export interface AdmissionEntry {
  /** Unique on this instance. */
  id: number
  workspace: string
  /** Weight of the workspace in fair sharing; more than 0. */
  share: number
  /** Most requests of the workspace that run at once here. */
  maximumConcurrent: number
  requestClass: RequestClass
  requestKind: string
  deadline: Milliseconds
}

/** How a running request ended; `overloaded` when the backend servers had no capacity for it, `failed` for other faults. */
export type RunOutcome = 'answered' | 'overloaded' | 'failed'

/** What happens to admission. */
export type AdmissionMessage =
  | { kind: 'enter', entry: AdmissionEntry }
  | { kind: 'leave', id: number, outcome: RunOutcome }
  /** The caller left; the request may wait or run. */
  | { kind: 'cancel', id: number }
  | { kind: 'wake' }

/** What has to be done. Each entry is admitted or refused once, or neither after its `cancel`. */
export type AdmissionEffect =
  | { kind: 'admit', id: number }
  | { kind: 'refuse', id: number, refusal: RefusalError }
  /** Sends `wake` at this time; a later effect of this kind replaces it. */
  | { kind: 'wake-at', at: Milliseconds }
