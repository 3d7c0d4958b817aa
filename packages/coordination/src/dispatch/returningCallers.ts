/** Remembers which refused requests were told to return when, so that a returning caller goes before a new one of its kind. */
import type { Milliseconds } from '../common/index.js'

const MAXIMUM_CALLERS = 2_048
/** Callers round the delay; one that returns this much early is on time. */
const EARLY_MARGIN: Milliseconds = 5

/** Times of return by the request's fingerprint. */
export class ReturningCallers {
  private readonly _returnsAt = new Map<string, Milliseconds>()

  /** Records a refusal. A caller that was refused again since it returned early keeps its earlier time if that is later. */
  onRefused (fingerprint: string, returnsAt: Milliseconds): void {
    const promised = Math.max(returnsAt, this._returnsAt.get(fingerprint) ?? 0)
    this._returnsAt.delete(fingerprint)
    this._returnsAt.set(fingerprint, promised)
    if (this._returnsAt.size > MAXIMUM_CALLERS) this._returnsAt.delete(this._returnsAt.keys().next().value as string)
  }

  /** Returns whether the request was refused before and returns at its time or later. */
  hasReturned (fingerprint: string, now: Milliseconds): boolean {
    const returnsAt = this._returnsAt.get(fingerprint)
    if (returnsAt === undefined || now < returnsAt - EARLY_MARGIN) return false
    this._returnsAt.delete(fingerprint)
    return true
  }
}
