/**
 * Compares the share of served requests of groups (routes, workspaces, sizes within a route) with that of all requests. Load
 * pattern: under lasting overload, strict priorities and preference for small requests would serve some groups not at all.
 */
import type { Milliseconds } from '../common/index.js'

/** Half-life of the counts: long against a burst, short against a change of the load. */
const HALF_LIFE: Milliseconds = 5_000
/** Recent requests of a group below which its share says little. */
const MINIMUM_REQUESTS = 5
/** Groups below this multiple of the overall share go first; callers need half, and the measure lags behind. */
const MINIMUM_RELATIVE_SHARE = 0.65
/** Groups whose shares differ by less are treated alike. */
const SHORTFALL_STEP = 0.05
const MAXIMUM_GROUPS = 512

interface Counts {
  decided: number
  served: number
  at: Milliseconds
}

/** Exponentially decaying counts of decided and of served requests by group. */
export class ServedShares {
  private readonly _overall: Counts = { decided: 0, served: 0, at: 0 }
  private readonly _groups = new Map<string, Counts>()

  /** Records that a request of these groups was sent to a replica, or refused. */
  onDecided (groups: readonly string[], isServed: boolean, now: Milliseconds): void {
    add(this._overall, isServed, now)
    for (const group of groups) add(this._countsOf(group, now), isServed, now)
  }

  /** By how much one of the groups is served less than the minimum, in steps; 0 if none is. */
  shortfall (groups: readonly string[]): number {
    const overallShare = this._overall.served / Math.max(1, this._overall.decided)
    const minimum = MINIMUM_RELATIVE_SHARE * overallShare
    let lowest = minimum
    for (const group of groups) {
      const counts = this._groups.get(group)
      if (counts !== undefined && counts.decided >= MINIMUM_REQUESTS) lowest = Math.min(lowest, counts.served / counts.decided)
    }
    return lowest < minimum ? Math.ceil((minimum - lowest) / overallShare / SHORTFALL_STEP) : 0
  }

  private _countsOf (group: string, now: Milliseconds): Counts {
    const known = this._groups.get(group)
    if (known !== undefined) return known
    if (this._groups.size >= MAXIMUM_GROUPS) this._groups.delete(this._groups.keys().next().value as string)
    const counts = { decided: 0, served: 0, at: now }
    this._groups.set(group, counts)
    return counts
  }
}

function add (counts: Counts, isServed: boolean, now: Milliseconds): void {
  const decay = 0.5 ** (Math.max(0, now - counts.at) / HALF_LIFE)
  counts.decided = counts.decided * decay + 1
  counts.served = counts.served * decay + (isServed ? 1 : 0)
  counts.at = now
}
