/** The attempts of one request that have not ended: one, or a silent one and a hedge, which is a second one sent beside it. */
import type { HealthSignal, Milliseconds, OpenAttempt } from '@wasabihead/coordination'
import type { Attempt } from './attempt.js'

/** A replica that cannot take a request refuses it within this time. */
const HEDGE_TIMEOUT: Milliseconds = 250

/** Holds at most two attempts. The answer of the first one is forwarded; it ends once the hedge is accepted. */
export class OpenAttempts {
  private _first: Attempt | undefined
  private _hedge: Attempt | undefined
  private _hedgeTimer: NodeJS.Timeout | undefined

  /** @param _onHedgeAccepted called where the destination of the hedge has not refused it in time */
  constructor (private readonly _onHedgeAccepted: () => void) {}

  /** The attempt whose answer is forwarded. */
  get first (): Attempt | undefined {
    return this._first
  }

  /** The attempt that was sent beside the first one. */
  get hedge (): Attempt | undefined {
    return this._hedge
  }

  /** Adds an attempt that is being sent: the first one, or the hedge if there is one already. */
  add (attempt: Attempt): void {
    if (this._first === undefined) {
      this._first = attempt
      return
    }
    this._hedge = attempt
    this._watchHedge(attempt)
  }

  /** Closes one attempt; the hedge takes the place of the first one. Returns which attempt is still open. */
  close (attempt: Attempt, signal: HealthSignal | undefined): OpenAttempt | undefined {
    attempt.close(signal)
    const isHedge = attempt === this._hedge
    if (!isHedge) this._first = this._hedge
    this._hedge = undefined
    clearTimeout(this._hedgeTimer)
    if (this._first === undefined) return undefined
    return isHedge ? 'silent' : 'hedge'
  }

  /** Closes all attempts. The signal is that of the first one. */
  closeAll (signal: HealthSignal | undefined): void {
    if (this._hedge !== undefined) this.close(this._hedge, undefined)
    if (this._first !== undefined) this.close(this._first, signal)
  }

  private _watchHedge (hedge: Attempt): void {
    this._hedgeTimer = setTimeout(() => {
      // After a pause of this process, a refusal that was sent meanwhile is read first.
      setImmediate(() => {
        if (this._hedge !== hedge) return
        if (hedge.channel.isConnected) this._onHedgeAccepted()
        else this._watchHedge(hedge)
      })
    }, HEDGE_TIMEOUT)
  }
}
