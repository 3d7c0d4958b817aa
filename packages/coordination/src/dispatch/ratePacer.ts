/** Spaces sends at a rate, by the generic cell rate algorithm. */
import type { Milliseconds } from '../common/index.js'

/** Paces one sender. It begins with its allowance used up, so that runs that follow each other add up to no more. */
export class RatePacer {
  /** When the allowance would be whole again. */
  private _wholeAt: Milliseconds = -Infinity
  private _interval: Milliseconds = Infinity
  private _burst = 1

  /**
   * Takes a rate; sends that were made stay counted.
   * @param interval between two sends; Infinity for none at all
   * @param burst sends that may follow each other at once, at least 1; a fraction counts towards the next one
   */
  configure (interval: Milliseconds, burst: number, now: Milliseconds): void {
    if (interval === this._interval && burst === this._burst) return
    const begins = !Number.isFinite(this._interval)
    this._interval = interval
    this._burst = burst
    const emptyAt = now + burst * interval
    this._wholeAt = begins ? emptyAt : Math.min(this._wholeAt, emptyAt)
  }

  /** When the next send may be made; in the past where one may be made at once. */
  get nextAt (): Milliseconds {
    if (!Number.isFinite(this._interval)) return Infinity
    return this._wholeAt - (this._burst - 1) * this._interval
  }

  /** Takes the next send and gives when it may be made, now or later. */
  take (now: Milliseconds): Milliseconds {
    const at = Math.max(now, this.nextAt)
    this._wholeAt = Math.max(now, this._wholeAt) + this._interval
    return at
  }
}
