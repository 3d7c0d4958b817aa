/**
 * This instance's share of the calls that the whole fleet may make on the key-value service. The shares are equal, so the
 * fleet's sum stays under the service's rates whatever each one does.
 */
import { MILLISECONDS_PER_SECOND, type Milliseconds } from '../common/index.js'

/** What a call costs the service. A waiting watch counts as one read in each second. */
export type CallKind = 'read' | 'write'

/** Who calls: the first have the whole share, the later ones leave a reserve to those before them. */
export type CallPriority = 'claims' | 'configuration' | 'membership'

/** Calls a second that the fleet may make together. */
export interface FleetRates {
  readsPerSecond: number
  writesPerSecond: number
}

/** Under the service's several hundred writes and two thousand reads a second. */
export const FLEET_RATES: FleetRates = { readsPerSecond: 1_600, writesPerSecond: 300 }

/** Seconds of its share that an instance may save for a burst. */
const BURST_SECONDS = 5
/** A share is never less than what one operation needs at once. */
const SMALLEST_BURST = 4
/** Part of the full bucket that stays untouched by a priority. */
const RESERVE: Record<CallPriority, number> = { claims: 0, configuration: 0.25, membership: 0.5 }

/** Token buckets for the calls of one instance. */
export class CallBudget {
  private readonly _buckets: Record<CallKind, Bucket>
  private _liveMembers = 1
  private _watches = 0

  /** @param _rates what the whole fleet may ask of the service */
  constructor (private readonly _rates: FleetRates, now: Milliseconds) {
    this._buckets = { read: new Bucket(now), write: new Bucket(now) }
    this._shareOut(now)
  }

  /** Divides the rates by the count of live members, this instance included. */
  setLiveMembers (count: number, now: Milliseconds): void {
    this._liveMembers = Math.max(1, count)
    this._shareOut(now)
  }

  /** Sets the count of watches that wait, each of which is paid from the reads. */
  setWatches (count: number, now: Milliseconds): void {
    this._watches = count
    this._shareOut(now)
  }

  /** Pays for one call; whether it may be made. */
  take (kind: CallKind, priority: CallPriority, now: Milliseconds): boolean {
    return this._buckets[kind].take(RESERVE[priority], now)
  }

  private _shareOut (now: Milliseconds): void {
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
    this._capacity = Math.max(SMALLEST_BURST, rate * BURST_SECONDS)
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
