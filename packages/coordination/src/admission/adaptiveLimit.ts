/**
 * A concurrency limit that follows measured latency: it grows by steps while a full window of requests is about as fast
 * as the best seen, and shrinks by a factor when the median rises past the tolerance (AIMD on latency).
 */
import type { Milliseconds } from '../common/index.js'

/** Settings of an adaptive limit. */
export interface AdaptiveLimitSettings {
  initialLimit: number
  minimumLimit: number
  maximumLimit: number
}

const WINDOW_SAMPLES = 16
const MAXIMUM_KINDS = 256
/** Median latency over the best median past which the limit shrinks. */
const TOLERANCE = 2
const DECREASE_FACTOR = 0.85
/** Rise of the best median for each window that ran without pressure, so that a lasting change of the work is learnt. */
const BASELINE_DRIFT = 1.01
/** Share of the limit that must be in use before it grows. */
const FULL_SHARE = 0.9

interface KindWindow {
  samples: Milliseconds[]
  baseline: Milliseconds
}

/** Learns the limit from ended requests. */
export class AdaptiveLimit {
  private _limit: number
  private _endedSinceDecrease = 0
  private readonly _windows = new Map<string, KindWindow>()

  /** @param _settings bounds of the limit */
  constructor (private readonly _settings: AdaptiveLimitSettings) {
    this._limit = _settings.initialLimit
  }

  /** Requests that may run at once now. */
  get limit (): number {
    return Math.floor(this._limit)
  }

  /** Takes the latency of an ended request, with the requests that ran at its end. */
  onEnded (requestKind: string, latency: Milliseconds, running: number): void {
    this._endedSinceDecrease += 1
    const window = this._windowOf(requestKind)
    window.samples.push(latency)
    if (window.samples.length < WINDOW_SAMPLES) return
    const median = medianOf(window.samples)
    window.samples = []
    const isFull = running >= this._limit * FULL_SHARE
    // Under pressure the baseline must not follow the latency, or the limit would creep up with the overload.
    const isUnpressed = !isFull || this._limit <= this._settings.minimumLimit
    window.baseline = Math.min(median, window.baseline * (isUnpressed ? BASELINE_DRIFT : 1))
    if (median > window.baseline * TOLERANCE) this._decrease()
    else if (isFull) this._increase()
  }

  /** Takes a sign that the backend servers had no capacity. */
  onOverloaded (): void {
    this._endedSinceDecrease += 1
    this._decrease()
  }

  /** One decrease for each round of requests: those that ran before a decrease say nothing about it. */
  private _decrease (): void {
    if (this._endedSinceDecrease < this._limit) return
    this._endedSinceDecrease = 0
    this._limit = Math.max(this._settings.minimumLimit, this._limit * DECREASE_FACTOR)
  }

  private _increase (): void {
    this._limit = Math.min(this._settings.maximumLimit, this._limit + Math.max(1, Math.sqrt(this._limit) / 2))
  }

  private _windowOf (requestKind: string): KindWindow {
    const known = this._windows.get(requestKind)
    if (known !== undefined) return known
    const window = { samples: [], baseline: Infinity }
    if (this._windows.size >= MAXIMUM_KINDS) this._windows.delete(this._windows.keys().next().value as string)
    this._windows.set(requestKind, window)
    return window
  }
}

function medianOf (samples: readonly number[]): number {
  return [...samples].sort((left, right) => left - right)[samples.length >> 1] ?? 0
}
