/**
 * Chooses open claims whose executor is asked whether it still knows the attempt. A claim call that arrives after its
 * executor gave up, or a hand-over whose owner never learnt that it was won, would otherwise stay open for good.
 */
import type { Milliseconds } from '../common/index.js'
import type { Claim } from './messages.js'

const ASK_AFTER: Milliseconds = 30_000
const ASKED_AT_ONCE = 8

/** Follows the open claims of one shard. */
export class AttemptAudit {
  private readonly _countedFrom = new Map<string, Milliseconds>()

  /** The claims to ask about now: those open here for long since they were first seen or last asked about. */
  due (open: readonly Claim[], now: Milliseconds): Claim[] {
    const tokens = new Set(open.map(claim => claim.attemptToken))
    for (const token of [...this._countedFrom.keys()]) if (!tokens.has(token)) this._countedFrom.delete(token)
    for (const token of tokens) if (!this._countedFrom.has(token)) this._countedFrom.set(token, now)
    const due = open.filter(claim => now - (this._countedFrom.get(claim.attemptToken) ?? now) >= ASK_AFTER)
    const asked = due.slice(0, ASKED_AT_ONCE)
    for (const claim of asked) this._countedFrom.set(claim.attemptToken, now)
    return asked
  }

  /** Forgets everything seen. */
  reset (): void {
    this._countedFrom.clear()
  }
}
