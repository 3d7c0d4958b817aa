/** What all servers of a process share to bound the memory that connections of callers take. */
import type { Socket } from 'node:net'
import { CallerMemory, type CallerMemoryLimits, type DroppedCaller } from '@wasabihead/coordination'

/** Limits on what callers may hold. */
export interface CallerGuardSettings extends CallerMemoryLimits {
  /** Requests of one connection that are read before the first of them is answered; further ones are left unread. */
  requestsAhead: number
}

/** The limits, the accounts, and whoever is told of dropped connections. */
export class CallerGuard {
  readonly memory: CallerMemory<Socket>
  readonly requestsAhead: number
  /** Size up to which an incomplete head, a line with a chunk's size, or trailers are read; longer ones are refused. */
  maximumOpenBytes = Infinity

  /**
   * @param now monotonic clock, in milliseconds
   * @param onDropped called for each connection that was closed
   */
  constructor (
    { requestsAhead, ...limits }: CallerGuardSettings, readonly now: () => number,
    readonly onDropped: (dropped: DroppedCaller<Socket>) => void
  ) {
    this.memory = new CallerMemory(limits)
    this.requestsAhead = requestsAhead
  }
}
