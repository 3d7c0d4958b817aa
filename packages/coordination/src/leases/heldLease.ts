/** Whether this instance may still act on a lease of the key-value service. */
import type { Milliseconds } from '../common/index.js'

/** Part of the time to live that is given up, since two hosts' clocks run at slightly different rates. */
const SAFETY_SHARE = 0.1

/**
 * A lease as its holder sees it. Its time is counted on the local monotonic clock from before the call that granted or
 * renewed it was sent, so the holder stops believing before the service lets the lease lapse. After a pause `isHeld`
 * is false by itself. A holder that was paused between the question and its action is stopped by fencing, not by this.
 */
export class HeldLease {
  private _heldUntil: Milliseconds = -Infinity

  /** @param timeToLive as granted by the service */
  constructor (readonly timeToLive: Milliseconds) {}

  /** How long a holder believes in a lease after it sent its renewal. */
  static surelyHeldFor (timeToLive: Milliseconds): Milliseconds {
    return timeToLive * (1 - SAFETY_SHARE)
  }

  /** The grant or a renewal was answered; `sentAt` is the time before the call was sent. */
  confirm (sentAt: Milliseconds): void {
    this._heldUntil = Math.max(this._heldUntil, sentAt + HeldLease.surelyHeldFor(this.timeToLive))
  }

  /** When the lease stops being surely held, on the local monotonic clock. */
  get heldUntil (): Milliseconds {
    return this._heldUntil
  }

  /** The service said that the lease has lapsed, or it was given back. */
  lose (): void {
    this._heldUntil = -Infinity
  }

  /** Whether the lease is surely still held. */
  isHeld (now: Milliseconds): boolean {
    return now < this._heldUntil
  }

  /** Whether it is time to renew: at a third of the time to live, so that two renewals may fail. */
  isRenewalDue (now: Milliseconds): boolean {
    return now >= this._heldUntil - this.timeToLive * (1 - SAFETY_SHARE - 1 / 3)
  }
}
