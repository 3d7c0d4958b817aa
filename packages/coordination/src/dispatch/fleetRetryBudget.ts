/**
 * Keeps the repeats of all instances together within a share of the requests, without any talk between them: each
 * instance spends the share of its own requests and its part of the fixed allowance.
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

interface Tally {
  requests: Milliseconds[]
  repeats: Milliseconds[]
}

/** Counts requests and repeats for each service. */
export class FleetRetryBudget {
  private readonly _tallies = new Map<string, Tally>()

  constructor (private _settings: FleetRetryBudgetSettings) {}

  /** Takes new settings; what was spent stays spent. */
  configure (settings: FleetRetryBudgetSettings): void {
    this._settings = settings
  }

  /** A caller's request for the service was read. */
  onRequest (service: string, now: Milliseconds): void {
    this._tally(service, now).requests.push(now)
  }

  /** Spends one repeat if the window has room for it; whether it may go ahead. */
  trySpend (service: string, instances: number, now: Milliseconds): boolean {
    const tally = this._tally(service, now)
    const { ratio, allowance } = this._settings
    const limit = USED_SHARE * (ratio * tally.requests.length + allowance / Math.max(1, instances))
    if (tally.repeats.length + 1 > limit) return false
    tally.repeats.push(now)
    return true
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
