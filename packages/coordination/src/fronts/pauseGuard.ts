/** Detects messages that may have been buffered while this process was paused. */
import type { Milliseconds } from '../common/index.js'

/** Settings of the guard. */
export interface PauseGuardSettings {
  /** A longer time between two ticks counts as a pause. */
  longestGap: Milliseconds
  /** For how long after a pause buffered messages may still be read. */
  settling: Milliseconds
}

/**
 * Detects pauses of this process. Ages in a message count from its arrival, and the arrival time of a message that was
 * buffered during a pause is not known.
 */
export class PauseGuard {
  private _tickedAt: Milliseconds | undefined
  private _settledAt: Milliseconds = -Infinity

  constructor (private readonly _settings: PauseGuardSettings) {}

  /**
   * Records that the process is running; to be called more often than `longestGap`. Returns whether the process has been
   * paused since the last tick.
   */
  tick (now: Milliseconds): boolean {
    const isPaused = this._detectPause(now)
    this._tickedAt = now
    return isPaused
  }

  /** Whether a message that is read now may have been buffered during a pause. */
  mayBeBuffered (now: Milliseconds): boolean {
    this._detectPause(now)
    return now < this._settledAt
  }

  private _detectPause (now: Milliseconds): boolean {
    const isPaused = this._tickedAt !== undefined && now - this._tickedAt > this._settings.longestGap
    if (isPaused) this._settledAt = now + this._settings.settling
    return isPaused
  }
}
