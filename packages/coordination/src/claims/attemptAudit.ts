/**
 * Selects open claims whose executor is asked whether it still knows the attempt. Without these questions, a claim would stay
 * open forever where its claim call arrived after the executor gave up, or where the shard's owner handed durable work over
 * and never learned that the write succeeded.
 */
import type { Milliseconds } from '../common/index.js'
import type { Claim } from './messages.js'

/** Time for which a claim is open before its executor is asked, and between two questions about it. */
const QUESTION_INTERVAL: Milliseconds = 30_000
const MAXIMUM_QUESTIONS_AT_ONCE = 8

/** Tracks the open claims of one shard. */
export class AttemptAudit {
  private readonly _intervalStartedAt = new Map<string, Milliseconds>()

  /** The claims to ask about now: the interval has passed since they were first seen open here or last asked about. */
  due (open: readonly Claim[], now: Milliseconds): Claim[] {
    const tokens = new Set(open.map(claim => claim.attemptToken))
    for (const token of [...this._intervalStartedAt.keys()]) if (!tokens.has(token)) this._intervalStartedAt.delete(token)
    for (const token of tokens) if (!this._intervalStartedAt.has(token)) this._intervalStartedAt.set(token, now)
    const due = open.filter(claim => now - (this._intervalStartedAt.get(claim.attemptToken) ?? now) >= QUESTION_INTERVAL)
    const asked = due.slice(0, MAXIMUM_QUESTIONS_AT_ONCE)
    for (const claim of asked) this._intervalStartedAt.set(claim.attemptToken, now)
    return asked
  }

  /** Discards all tracked claims. */
  reset (): void {
    this._intervalStartedAt.clear()
  }
}
