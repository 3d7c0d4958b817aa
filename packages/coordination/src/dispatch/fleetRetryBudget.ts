/**
 * Keeps the repeats of all instances together within a share of the requests, without any talk between them: each
 * instance spends the share of its own requests and its part of the fixed allowance. Instances that are cut off spend too,
 * and so did the run before this one, of which this one knows nothing.
 */
import type { Milliseconds } from '../common/index.js'

/** Settings of the budget. */
export interface FleetRetryBudgetSettings {
  /** Repeats allowed for each request. */
  ratio: number
  /** Repeats in a window that the fleet may spend besides. */
  allowance: number
  window: Milliseconds
}

/** Part of the budget that is used; the rest covers instances that come and go, and arrivals that are counted late. */
const USED_SHARE = 0.75
/** What the run before this one has left of its last window, at least. */
const LEFT_SHARE = 1 - USED_SHARE

interface Tally {
  requests: Milliseconds[]
  repeats: Milliseconds[]
}

/** Counts requests and repeats for each service. */
export class FleetRetryBudget {
  private readonly _tallies = new Map<string, Tally>()

  /**
   * @param _startedAt when this run began to spend
   * @param _isFirstRun whether the whole fleet starts for the first time, so that no run was before this one
   */
  constructor (
    private _settings: FleetRetryBudgetSettings, private readonly _startedAt: Milliseconds, private readonly _isFirstRun: boolean
  ) {}

  /** Takes new settings; what was spent stays spent. */
  configure (settings: FleetRetryBudgetSettings): void {
    this._settings = settings
  }

  /** A caller's request for the service was read. */
  onRequest (service: string, now: Milliseconds): void {
    this._tally(service, now).requests.push(now)
  }

  /**
   * Spends one repeat if the window has room for it; whether it may go ahead.
   * @param instances all that may spend, cut off or not; undefined while that is not known
   */
  trySpend (service: string, instances: number | undefined, now: Milliseconds): boolean {
    const tally = this._tally(service, now)
    if (tally.repeats.length + 1 > this._limit(tally.requests.length, instances, now)) return false
    tally.repeats.push(now)
    return true
  }

  private _limit (requests: number, instances: number | undefined, now: Milliseconds): number {
    const { ratio, allowance, window } = this._settings
    const age = now - this._startedAt
    const share = age > window || this._isFirstRun ? USED_SHARE : LEFT_SHARE
    // The allowance grows with the run's age, so that many short runs do not each spend it.
    return share * (ratio * requests + allowance / (instances ?? Infinity) * Math.min(1, age / window))
  }

  private _tally (service: string, now: Milliseconds): Tally {
    const tally = this._tallies.get(service) ?? { requests: [], repeats: [] }
    this._tallies.set(service, tally)
    const begin = now - this._settings.window
    dropBefore(tally.requests, begin)
    dropBefore(tally.repeats, begin)
    return tally
  }
}

function dropBefore (times: Milliseconds[], begin: Milliseconds): void {
  let count = 0
  while (count < times.length && (times[count] as Milliseconds) < begin) count++
  if (count > 0) times.splice(0, count)
}
