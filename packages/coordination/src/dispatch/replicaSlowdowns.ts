/**
 * Estimates how much slower than usual each replica is at the moment. Load pattern: at 15 in 100 replicas answers take 2.5 times
 * as long for spells of 0.6 s. The speed of the service averages over a hundred answers and does not show them. A few answers
 * must be enough to notice a spell, and time alone to forget it, since a replica that is avoided sends no answers.
 */
import type { Milliseconds } from '../common/index.js'

const SAMPLE_WEIGHT = 0.5
/** After 0.6 s a quarter of a slowdown is left, if no answer says otherwise. */
const HALF_LIFE: Milliseconds = 300
/** A slow answer may have other reasons than its replica; more than this would exclude it. */
const MAXIMUM_SLOWDOWN = 4
/** Added to both times, since single milliseconds on the way say nothing about short answers. */
const TIME_MARGIN: Milliseconds = 20
/** Smaller slowdowns are within the variation of ordinary answers. */
const MINIMUM_SLOWDOWN = 1.25
const MAXIMUM_REPLICAS = 4_096

interface Slowdown {
  factor: number
  at: Milliseconds
}

/** Short moving averages of the time to the first byte, relative to its prediction. */
export class ReplicaSlowdowns {
  private readonly _slowdowns = new Map<string, Slowdown>()

  /**
   * Records the first byte of an answer.
   * @param predicted the time at the usual speed of the service
   */
  onFirstByte (replicaId: string, predicted: Milliseconds, elapsed: Milliseconds, now: Milliseconds): void {
    const ratio = (elapsed + TIME_MARGIN) / (predicted + TIME_MARGIN)
    const sample = ratio < MINIMUM_SLOWDOWN ? 1 : Math.min(MAXIMUM_SLOWDOWN, ratio)
    const current = this._current(replicaId, now)
    this._slowdowns.delete(replicaId)
    this._slowdowns.set(replicaId, { factor: current + (sample - current) * SAMPLE_WEIGHT, at: now })
    if (this._slowdowns.size > MAXIMUM_REPLICAS) this._slowdowns.delete(this._slowdowns.keys().next().value as string)
  }

  /** By how much times at the replica are multiplied at the moment; 1 where nothing unusual is known. */
  of (replicaId: string, now: Milliseconds): number {
    const factor = this._current(replicaId, now)
    return factor < MINIMUM_SLOWDOWN ? 1 : factor
  }

  private _current (replicaId: string, now: Milliseconds): number {
    const slowdown = this._slowdowns.get(replicaId)
    return slowdown === undefined ? 1 : 1 + (slowdown.factor - 1) * 0.5 ** (Math.max(0, now - slowdown.at) / HALF_LIFE)
  }
}
