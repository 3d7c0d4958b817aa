/**
 * Limits how many requests without a prompt one replica gets at a time. Load pattern: four replicas with six slots get bursts
 * of requests with objectives of 148 to 388 ms; beyond its slots a replica queues requests in its own order, and all become late.
 */
import { AdaptiveLimit } from '../admission/index.js'
import type { Milliseconds } from '../common/index.js'

/** The limit does not shrink below this share of the stated slots, since latency may have other reasons than load. */
const MINIMUM_SHARE = 0.5
const MAXIMUM_LIMITS = 256

/** Concurrency limits for each service and number of slots: as many as the slots, fewer while latency shows that as too many. */
export class SlotLimits {
  private readonly _limits = new Map<string, AdaptiveLimit>()

  /** The most requests that a replica with these slots gets at a time; none is known for a replica that states no slots. */
  limitOf (service: string, slots: number): number {
    return slots > 0 ? this._of(service, slots).limit : Infinity
  }

  /**
   * Records an answer.
   * @param running requests at the replica when it was complete, itself included
   */
  onAnswered (service: string, slots: number, route: string, latency: Milliseconds, running: number): void {
    if (slots > 0) this._of(service, slots).onEnded(route, latency, running)
  }

  private _of (service: string, slots: number): AdaptiveLimit {
    const key = `${service} ${slots}`
    const known = this._limits.get(key)
    if (known !== undefined) return known
    if (this._limits.size >= MAXIMUM_LIMITS) this._limits.delete(this._limits.keys().next().value as string)
    const minimumLimit = Math.max(1, Math.ceil(slots * MINIMUM_SHARE))
    const limit = new AdaptiveLimit({ initialLimit: slots, minimumLimit, maximumLimit: slots })
    this._limits.set(key, limit)
    return limit
  }
}
