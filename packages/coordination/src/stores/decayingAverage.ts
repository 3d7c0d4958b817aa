/** An exponentially weighted average of recent samples that decays to zero while no samples arrive. */
import type { Milliseconds } from '../common/index.js'

const SAMPLE_WEIGHT = 0.25
const HALF_LIFE: Milliseconds = 2_000

/** One average, zero until the first sample; samples and average have the same unit. */
export class DecayingAverage {
  private _value = 0
  private _at: Milliseconds = 0

  /** Adds a sample. */
  add (sample: number, now: Milliseconds): void {
    this._value = this.value(now) * (1 - SAMPLE_WEIGHT) + sample * SAMPLE_WEIGHT
    this._at = now
  }

  /** The average at a time, decayed since the last sample. */
  value (now: Milliseconds): number {
    return this._value * 0.5 ** (Math.max(0, now - this._at) / HALF_LIFE)
  }
}
