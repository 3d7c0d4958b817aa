/**
 * Assigns retry delays to refused callers of a rate-limited service. Each caller gets a different time, so that retries do not
 * arrive together.
 */
import { MILLISECONDS_PER_SECOND, type Milliseconds } from '../common/index.js'

/** Upper bound of a delay: a long queue of retries could outlast the rate limit itself. */
const MAXIMUM_DELAY: Milliseconds = 30_000

/** Hands out retry times at this instance's share of the service's rate. */
export class RetryDelays {
  private readonly _lastAt = new Map<string, Milliseconds>()

  /**
   * Returns the delay in milliseconds for the next refused caller.
   * @param rate requests per second that the service accepts from all instances together
   * @param instances number of instances that refuse callers at the same time, including this one
   */
  next (service: string, rate: number, instances: number, now: Milliseconds): Milliseconds {
    const interval = rate > 0 ? instances * MILLISECONDS_PER_SECOND / rate : MAXIMUM_DELAY
    const at = Math.min(Math.max(now, this._lastAt.get(service) ?? now) + interval, now + MAXIMUM_DELAY)
    this._lastAt.set(service, at)
    return at - now
  }
}
