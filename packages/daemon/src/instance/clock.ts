/** Where the daemon's loop reads the time that it passes to the decisions. */
import { performance } from 'node:perf_hooks'
import type { Milliseconds } from '@wasabihead/coordination'

/** Reads the time. */
export abstract class Clock {
  /** Time on the local monotonic clock. */
  abstract monotonic (): Milliseconds

  /** Wall-clock time since 1970, for records and people; never compared for safety. */
  abstract wall (): Milliseconds
}

/** The machine's clocks. */
export class SystemClock extends Clock {
  override monotonic (): Milliseconds {
    return performance.now()
  }

  override wall (): Milliseconds {
    return Date.now()
  }
}
