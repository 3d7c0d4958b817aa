/** Tells messages that waited while this process stood still from those that have just arrived. */
import type { Milliseconds } from '../common/index.js'

/** Settings of the guard. */
export interface PauseGuardSettings {
  /** Ticks further apart than this show a pause. */
  longestGap: Milliseconds
  /** How long after a pause messages that waited may still be read. */
  settling: Milliseconds
}

/** What a message tells of its sender's age counts from its arrival, which is not known of one that waited in a buffer. */
export class PauseGuard {
  private _tickedAt: Milliseconds | undefined
  private _settledAt: Milliseconds = -Infinity

  constructor (private readonly _settings: PauseGuardSettings) {}

  /** The process is running; call it more often than the longest gap. Whether it has stood still since the last tick. */
  tick (now: Milliseconds): boolean {
    const isPaused = this._noteGap(now)
    this._tickedAt = now
    return isPaused
  }

  /** Whether a message that is read now may have waited. */
  mayHaveWaited (now: Milliseconds): boolean {
    this._noteGap(now)
    return now < this._settledAt
  }

  private _noteGap (now: Milliseconds): boolean {
    const isPaused = this._tickedAt !== undefined && now - this._tickedAt > this._settings.longestGap
    if (isPaused) this._settledAt = now + this._settings.settling
    return isPaused
  }
}
