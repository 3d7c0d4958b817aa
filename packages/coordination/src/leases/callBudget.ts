/**
 * Limits this instance's calls to the key-value service to an equal share of the fleet's rates, so that the fleet as a whole
 * stays within them however much each instance calls.
 */
import { MILLISECONDS_PER_SECOND, type Milliseconds } from '../common/index.js'

/** The rate that a call counts against. A waiting watch counts as one read per second. */
export type CallKind = 'read' | 'write'

/** Purpose of a call, highest priority first. Lower priorities leave a reserve of tokens to the higher ones. */
export type CallPriority = 'claims' | 'configuration' | 'membership'

/** Limits for the calls of all instances together. */
export interface FleetRates {
  readsPerSecond: number
  writesPerSecond: number
}

/** Below the service's limits of two thousand reads and several hundred writes a second. */
export const FLEET_RATES: FleetRates = { readsPerSecond: 1_600, writesPerSecond: 300 }

/** Capacity of a bucket: how many seconds of its rate an instance may accumulate. */
const BURST_SECONDS = 5
/** Smallest capacity of a bucket, in calls: what one operation needs at once. */
const MINIMUM_BURST = 4
/** Share of a full bucket's tokens that calls of a priority must leave. */
const RESERVED_SHARE: Record<CallPriority, number> = { claims: 0, configuration: 0.25, membership: 0.5 }

/** Token buckets for the calls of one instance. */
export class CallBudget {
  private readonly _buckets: Record<CallKind, Bucket>
  private _liveMembers = 1
  private _watches = 0

  /** @param _rates limits of the whole fleet */
  constructor (private readonly _rates: FleetRates, now: Milliseconds) {
    this._buckets = { read: new Bucket(now), write: new Bucket(now) }
    this._updateRates(now)
  }

  /** Sets the number of live members, this instance included, by which the fleet's rates are divided. */
  setLiveMembers (count: number, now: Milliseconds): void {
    this._liveMembers = Math.max(1, count)
    this._updateRates(now)
  }

  /** Sets the number of waiting watches; each reduces the rate of reads by one per second. */
  setWatches (count: number, now: Milliseconds): void {
    this._watches = count
    this._updateRates(now)
  }

  /** Takes the token for one call. Returns false where the call may not be made now. */
  take (kind: CallKind, priority: CallPriority, now: Milliseconds): boolean {
    return this._buckets[kind].take(RESERVED_SHARE[priority], now)
  }

  private _updateRates (now: Milliseconds): void {
    const reads = this._rates.readsPerSecond / this._liveMembers - this._watches
    this._buckets.read.setRate(Math.max(0, reads), now)
    this._buckets.write.setRate(this._rates.writesPerSecond / this._liveMembers, now)
  }
}

class Bucket {
  private _rate = 0
  private _capacity = Infinity
  private _tokens = Infinity

  constructor (private _filledAt: Milliseconds) {}

  setRate (rate: number, now: Milliseconds): void {
    this._fill(now)
    this._rate = rate
    this._capacity = Math.max(MINIMUM_BURST, rate * BURST_SECONDS)
    this._tokens = Math.min(this._tokens, this._capacity)
  }

  take (reserve: number, now: Milliseconds): boolean {
    this._fill(now)
    if (this._tokens - 1 < this._capacity * reserve) return false
    this._tokens -= 1
    return true
  }

  private _fill (now: Milliseconds): void {
    const seconds = Math.max(0, now - this._filledAt) / MILLISECONDS_PER_SECOND
    this._tokens = Math.min(this._capacity, this._tokens + seconds * this._rate)
    this._filledAt = now
  }
}
