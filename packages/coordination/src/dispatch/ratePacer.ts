/** Paces sends at a rate with the generic cell rate algorithm (GCRA). */
import type { Milliseconds } from '../common/index.js'

/** Paces one sender. It starts with its burst allowance used up, so that restarts do not add further bursts. */
export class RatePacer {
  /** When the burst allowance is full again if nothing more is sent. */
  private _fullAt: Milliseconds = -Infinity
  private _interval: Milliseconds = Infinity
  private _burst = 1

  /**
   * Sets the rate; sends already made still count.
   * @param interval time between two sends; Infinity to allow none
   * @param burst number of sends allowed back to back, at least 1; a fraction counts towards the next send
   */
  configure (interval: Milliseconds, burst: number, now: Milliseconds): void {
    if (interval === this._interval && burst === this._burst) return
    const hadNoRate = !Number.isFinite(this._interval)
    this._interval = interval
    this._burst = burst
    const emptyAt = now + burst * interval
    this._fullAt = hadNoRate ? emptyAt : Math.min(this._fullAt, emptyAt)
  }

  /** Earliest time of the next send; in the past if a send is allowed now. */
  get nextAt (): Milliseconds {
    if (!Number.isFinite(this._interval)) return Infinity
    return this._fullAt - (this._burst - 1) * this._interval
  }

  /** Reserves the next send and returns the time at which it is allowed, now or later. */
  reserve (now: Milliseconds): Milliseconds {
    const at = Math.max(now, this.nextAt)
    this._fullAt = Math.max(now, this._fullAt) + this._interval
    return at
  }
}
