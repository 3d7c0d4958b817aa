/**
 * Limits the retries of all instances together to a share of the requests, without coordination: each instance spends the
 * share of its own requests, and its part of a fixed allowance. Instances that are partitioned from their peers also spend.
 * So did the previous run of this process, whose spending is unknown after a restart.
 */
import type { Milliseconds } from '../common/index.js'

/** Settings of the budget. */
export interface FleetRetryBudgetSettings {
  /** Retries allowed per request. */
  ratio: number
  /** Additional retries that the fleet may spend in each window. */
  allowance: number
  window: Milliseconds
}

/** Share of the budget that is used; the rest covers instances that join or leave, and requests that are counted late. */
const USED_SHARE = 0.75
/** Share that the previous run of this process left unspent in its last window, at least. */
const SHARE_AFTER_RESTART = 1 - USED_SHARE

/** Times of the requests and retries within the current window, oldest first. */
interface Tally {
  requests: Milliseconds[]
  retries: Milliseconds[]
}

/** Counts requests and retries by service. */
export class FleetRetryBudget {
  private readonly _tallies = new Map<string, Tally>()

  /**
   * @param _startedAt when this run started to spend
   * @param _isFirstRun whether the whole fleet starts for the first time, so that no previous run has spent anything
   */
  constructor (
    private _settings: FleetRetryBudgetSettings, private readonly _startedAt: Milliseconds, private readonly _isFirstRun: boolean
  ) {}

  /** Applies new settings; retries already spent still count. */
  configure (settings: FleetRetryBudgetSettings): void {
    this._settings = settings
  }

  /** Records a caller's request for the service. */
  onRequest (service: string, now: Milliseconds): void {
    this._tally(service, now).requests.push(now)
  }

  /**
   * Spends one retry if the current window allows it; returns whether it may be sent.
   * @param instances number of instances that may spend, including partitioned ones; undefined while unknown
   */
  trySpend (service: string, instances: number | undefined, now: Milliseconds): boolean {
    const tally = this._tally(service, now)
    if (tally.retries.length + 1 > this._limit(tally.requests.length, instances, now)) return false
    tally.retries.push(now)
    return true
  }

  /** Takes back a retry that was spent at a time, and of which nothing was sent. */
  giveBack (service: string, spentAt: Milliseconds): void {
    const retries = this._tallies.get(service)?.retries ?? []
    const index = retries.indexOf(spentAt)
    if (index >= 0) retries.splice(index, 1)
  }

  private _limit (requests: number, instances: number | undefined, now: Milliseconds): number {
    const { ratio, allowance, window } = this._settings
    const age = now - this._startedAt
    const share = age > window || this._isFirstRun ? USED_SHARE : SHARE_AFTER_RESTART
    // The allowance grows with the age of the run, so that many short runs do not each spend the whole of it.
    return share * (ratio * requests + allowance / (instances ?? Infinity) * Math.min(1, age / window))
  }

  private _tally (service: string, now: Milliseconds): Tally {
    const tally = this._tallies.get(service) ?? { requests: [], retries: [] }
    this._tallies.set(service, tally)
    const begin = now - this._settings.window
    dropBefore(tally.requests, begin)
    dropBefore(tally.retries, begin)
    return tally
  }
}

function dropBefore (times: Milliseconds[], begin: Milliseconds): void {
  let count = 0
  while (count < times.length && (times[count] as Milliseconds) < begin) count++
  if (count > 0) times.splice(0, count)
}
