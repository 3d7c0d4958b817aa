/**
 * Whether this instance may rely on knowing all that other instances know of the store. One that was paused, or was cut off from
 * the store and its peers, lacks replicas to which others have sent requests already.
 */
import type { Milliseconds } from '../common/index.js'

/** Settings of the judgement. */
export interface CatalogCurrencySettings {
  /** A copy that was confirmed within this time is current. */
  longestAge: Milliseconds
  /** Within this time a peer that is alive reports the state of its copy. */
  reportTimeout: Milliseconds
  /** The same where reports of most peers are passed on by others. */
  passedOnTimeout?: Milliseconds
}

/** What the peers last reported of their copies of the store, in comparison with the own one. */
export class CatalogCurrency {
  private readonly _reports = new Map<string, { isAhead: boolean, at: Milliseconds }>()

  constructor (private readonly _settings: CatalogCurrencySettings) {}

  /**
   * A peer reported the state of its copy.
   * @param isAhead whether it may have changes that the own copy lacks
   * @param at when it was sent if it was passed on, otherwise when it was received
   */
  onReport (peer: string, isAhead: boolean, at: Milliseconds): void {
    if ((this._reports.get(peer)?.at ?? -Infinity) <= at) this._reports.set(peer, { isAhead, at })
  }

  /** Whether a peer's last report was ahead of the own copy; undefined without a report. */
  isAhead (peer: string): boolean | undefined {
    return this._reports.get(peer)?.isAhead
  }

  /** Whether the own copy was confirmed for the last time so long ago that changes may not be in force in time. */
  isOutdated (currentAsOf: Milliseconds, now: Milliseconds): boolean {
    return now - currentAsOf > this._settings.longestAge
  }

  /** Whether the own copy was confirmed so lately that it needs no comparison even with a peer that has just failed to answer. */
  isRecent (currentAsOf: Milliseconds, now: Milliseconds): boolean {
    return now - currentAsOf <= this._settings.longestAge / 2
  }

  /**
   * Whether the own copy is as new as that of any other instance.
   * @param currentAsOf the latest time at which it is known to have been complete
   * @param peers names of all known peers, alive or not
   * @param arePassedOn whether reports of most peers are passed on by others
   */
  isCurrent (currentAsOf: Milliseconds, peers: readonly string[], now: Milliseconds, arePassedOn = false): boolean {
    if (!this.isOutdated(currentAsOf, now)) return true
    for (const peer of this._reports.keys()) if (!peers.includes(peer)) this._reports.delete(peer)
    const { reportTimeout, passedOnTimeout = reportTimeout } = this._settings
    const timeout = arePassedOn ? passedOnTimeout : reportTimeout
    const recent = [...this._reports.values()].filter(({ at }) => now - at <= timeout)
    // While the store answers nobody, no instance learns of a change; a minority may be cut off from those that do.
    return recent.every(({ isAhead }) => !isAhead) && 2 * (recent.length + 1) >= peers.length + 1 && recent.length > 0
  }
}
