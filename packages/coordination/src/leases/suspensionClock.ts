/** A clock that includes the time during which the machine was suspended, which the monotonic clock does not. */
import type { Milliseconds } from '../common/index.js'

/** A lead of the wall clock above this counts as a suspension. Without one, the clocks differ by less between two readings. */
const SUSPENSION_THRESHOLD: Milliseconds = 200

/** Two clocks read at the same time. */
export interface ClockReading {
  monotonic: Milliseconds
  wall: Milliseconds
}

/**
 * Adds to the monotonic clock the time by which the wall clock ran ahead of it. A wall clock that is set forward looks like a
 * suspension and ends this instance's own leases early, which is safe; waiting for other holders uses the monotonic clock.
 * A wall clock that is set back is ignored.
 */
export class SuspensionClock {
  private _last: ClockReading | undefined
  private _suspended: Milliseconds = 0

  /** Returns the time for a new reading. Call it at least every few hundred milliseconds. */
  now (reading: ClockReading): Milliseconds {
    const last = this._last
    this._last = reading
    if (last !== undefined) {
      const ahead = (reading.wall - last.wall) - (reading.monotonic - last.monotonic)
      if (ahead > SUSPENSION_THRESHOLD) this._suspended += ahead
    }
    return reading.monotonic + this._suspended
  }
}
