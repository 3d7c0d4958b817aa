/** The clocks from which the daemon passes the time to the decisions. */
import { performance } from 'node:perf_hooks'
import type { Milliseconds } from '@wasabihead/coordination'

/** Reads the monotonic and the wall clock. */
export abstract class Clock {
  /** Time on the local monotonic clock. */
  abstract monotonic (): Milliseconds

  /** Wall-clock time since 1970, for stored records and display; no safety decision compares it. */
  abstract wall (): Milliseconds
}

/** The clocks of the operating system. */
export class SystemClock extends Clock {
  override monotonic (): Milliseconds {
    return performance.now()
  }

  override wall (): Milliseconds {
    return Date.now()
  }
}
