/** When refused callers may come back to a service that takes requests at a rate: each at a time of its own. */
import { MILLISECONDS_PER_SECOND, type Milliseconds } from '../common/index.js'

/** A limit may end sooner than a long queue would. */
const LONGEST_DELAY: Milliseconds = 30_000

/** Hands out the times of this instance's part of the places. */
export class ComeBackTimes {
  private readonly _lastAt = new Map<string, Milliseconds>()

  /**
   * How long the next refused caller should stay away.
   * @param rate requests a second that the service takes from all instances together
   * @param instances instances that refuse callers at the same time, this one included
   */
  next (service: string, rate: number, instances: number, now: Milliseconds): Milliseconds {
    const interval = rate > 0 ? instances * MILLISECONDS_PER_SECOND / rate : LONGEST_DELAY
    const at = Math.min(Math.max(now, this._lastAt.get(service) ?? now) + interval, now + LONGEST_DELAY)
    this._lastAt.set(service, at)
    return at - now
  }
}
