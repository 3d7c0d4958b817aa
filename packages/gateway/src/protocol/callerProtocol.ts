/** How callers say what they want; the names on the wire belong to the adapter. */
import type { Milliseconds, Prompt } from '@wasabihead/coordination'

/** What a caller's request head says, apart from its method, host and path. */
export interface CallerHead {
  requestId: string | undefined
  /** How long the caller will wait. */
  timeBudget: Milliseconds | undefined
  apiKey: string | undefined
  lastEventId: string | undefined
  prompt: Prompt | undefined
}

/** Header names in lower case, with their values. */
export type HeaderFields = Readonly<Record<string, string | string[] | undefined>>

/** Decodes callers' requests and names the headers of answers. */
export abstract class CallerProtocol {
  /** Decodes the head of a request. */
  abstract readHead (headers: HeaderFields): CallerHead

  /** Whether a caller's header is passed on; what the gateway sets itself, and keys, are not. `name` is lower case. */
  abstract isForwarded (name: string): boolean

  /** The header that tells a refused caller when to come back. */
  abstract retryAfter (delay: Milliseconds): [name: string, value: string]
}
