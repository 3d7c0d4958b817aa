/** Tracks whether this instance may still act on a lease of the key-value service. */
import type { Milliseconds } from '../common/index.js'

/** Share of the time to live that is not used, since the clocks of two hosts run at slightly different rates. */
const SAFETY_MARGIN_SHARE = 0.1

/**
 * A lease from its holder's side. Its lifetime counts on the local monotonic clock from before the call that granted or renewed
 * it was sent, so it ends here before it expires in the service, and a pause of the process ends it without an event. A holder
 * that pauses between `isHeld` and the action that relies on it is stopped by fencing, not by this class.
 */
export class HeldLease {
  private _heldUntil: Milliseconds = -Infinity

  /** @param timeToLive as granted by the service */
  constructor (readonly timeToLive: Milliseconds) {}

  /** How long the lease is safely held after the grant or renewal was sent. */
  static safeDuration (timeToLive: Milliseconds): Milliseconds {
    return timeToLive * (1 - SAFETY_MARGIN_SHARE)
  }

  /** Records a successful grant or renewal; `sentAt` is the time before the call was sent. */
  confirm (sentAt: Milliseconds): void {
    this._heldUntil = Math.max(this._heldUntil, sentAt + HeldLease.safeDuration(this.timeToLive))
  }

  /** When the lease stops being safely held, on the local monotonic clock; -Infinity while it is not held. */
  get heldUntil (): Milliseconds {
    return this._heldUntil
  }

  /** Ends the lease at once: it expired in the service, or was released. */
  invalidate (): void {
    this._heldUntil = -Infinity
  }

  /** Whether the lease is still safely held. */
  isHeld (now: Milliseconds): boolean {
    return now < this._heldUntil
  }

  /** Whether a renewal is due: after a third of the time to live, so that two renewals may fail before the lease ends. */
  isRenewalDue (now: Milliseconds): boolean {
    return now >= this._heldUntil - this.timeToLive * (1 - SAFETY_MARGIN_SHARE - 1 / 3)
  }
}
