/** The protocol between callers and the gateway; the adapter defines its names on the wire. */
import type { Milliseconds, Prompt } from '@wasabihead/coordination'

/** The decoded head of a caller's request, apart from its method, host and path. */
export interface CallerHead {
  requestId: string | undefined
  /** How long the caller waits for the answer; undefined if it does not state a valid time. */
  timeBudget: Milliseconds | undefined
  apiKey: string | undefined
  /** The last event that the caller received; the stream resumes after it. */
  lastEventId: string | undefined
  /** The request of the same caller that brought the first event of the stream that this one resumes. */
  resumedRequestId: string | undefined
  prompt: Prompt | undefined
}

/** Header values by lower-case name. */
export type HeaderFields = Readonly<Record<string, string | string[] | undefined>>

/** Decodes the heads of callers' requests and encodes headers of answers. */
export abstract class CallerProtocol {
  /** Decodes the head of a request. */
  abstract readHead (headers: HeaderFields): CallerHead

  /**
   * Whether a caller's header is forwarded. Headers that the gateway sets itself, and API keys, are not.
   * @param name in lower case
   */
  abstract isForwarded (name: string): boolean

  /** The header of a refusal that gives the caller its retry delay. */
  abstract retryAfter (delay: Milliseconds): [name: string, value: string]
}
