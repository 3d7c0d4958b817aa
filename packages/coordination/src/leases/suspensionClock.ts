/** A clock that counts the time during which the machine was suspended, which the monotonic clock does not. */
import type { Milliseconds } from '../common/index.js'

/** The two clocks differ by less than this in ordinary running. */
const ORDINARY_DIFFERENCE: Milliseconds = 200

/** Two clocks read at the same time. */
export interface ClockReading {
  monotonic: Milliseconds
  wall: Milliseconds
}

/**
 * Adds to the monotonic clock what the wall clock ran ahead of it. A wall clock that is set forward looks like a suspension,
 * which ends own leases early and does no harm; waits for others go by the monotonic clock. One that is set back is ignored.
 */
export class SuspensionClock {
  private _last: ClockReading | undefined
  private _suspended: Milliseconds = 0

  /** The time; it has to be asked at least every few hundred milliseconds. */
  now (reading: ClockReading): Milliseconds {
    const last = this._last
    this._last = reading
    if (last !== undefined) {
      const ahead = (reading.wall - last.wall) - (reading.monotonic - last.monotonic)
      if (ahead > ORDINARY_DIFFERENCE) this._suspended += ahead
    }
    return reading.monotonic + this._suspended
  }
}
