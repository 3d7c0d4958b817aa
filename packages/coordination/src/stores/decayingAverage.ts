/** An average of recent samples that fades to zero without new ones. */
import type { Milliseconds } from '../common/index.js'

const SAMPLE_WEIGHT = 0.25
const HALF_LIFE: Milliseconds = 2_000

/** Holds one average. */
export class FadingAverage {
  private _value = 0
  private _at: Milliseconds = 0

  /** Takes a sample. */
  add (sample: number, now: Milliseconds): void {
    this._value = this.value(now) * (1 - SAMPLE_WEIGHT) + sample * SAMPLE_WEIGHT
    this._at = now
  }

  /** The average now. */
  value (now: Milliseconds): number {
    return this._value * 0.5 ** (Math.max(0, now - this._at) / HALF_LIFE)
  }
}
