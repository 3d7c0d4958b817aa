/**
 * A concurrency limit that adapts to latency (AIMD): it grows by steps while the median latency of a full window of
 * requests stays within a tolerance of the lowest median observed, and shrinks by a factor above it.
 */
import type { Milliseconds } from '../common/index.js'

/** Settings of an adaptive limit, in concurrent requests. */
export interface AdaptiveLimitSettings {
  initialLimit: number
  minimumLimit: number
  maximumLimit: number
}

const WINDOW_SAMPLES = 16
const MAXIMUM_REQUEST_KINDS = 256
/** Ratio of the median latency to the baseline above which the limit shrinks. */
const LATENCY_TOLERANCE = 2
const DECREASE_FACTOR = 0.85
/** Growth factor of the baseline for each window without load pressure, so that it adapts to a lasting change of the workload. */
const BASELINE_GROWTH = 1.01
/** Share of the limit that must be in use for a window to count as full; the limit grows only after full windows. */
const FULL_UTILIZATION = 0.9

interface KindWindow {
  samples: Milliseconds[]
  /** Lowest median observed, raised slowly. */
  baseline: Milliseconds
}

/** Adjusts the limit from the latencies of ended requests, with a separate baseline for each request kind. */
export class AdaptiveLimit {
  private _limit: number
  private _endedSinceDecrease = 0
  private readonly _windows = new Map<string, KindWindow>()

  /** @param _settings bounds of the limit */
  constructor (private readonly _settings: AdaptiveLimitSettings) {
    this._limit = _settings.initialLimit
  }

  /** Maximum number of concurrent requests at present. */
  get limit (): number {
    return Math.floor(this._limit)
  }

  /** Records the latency of an ended request; `running` counts the requests in flight at its end, itself included. */
  onEnded (requestKind: string, latency: Milliseconds, running: number): void {
    this._endedSinceDecrease += 1
    const window = this._windowOf(requestKind)
    window.samples.push(latency)
    if (window.samples.length < WINDOW_SAMPLES) return
    const median = medianOf(window.samples)
    window.samples = []
    const isFull = running >= this._limit * FULL_UTILIZATION
    // Under load the baseline must not follow the latency, or the limit would creep up with the overload.
    const canBaselineRise = !isFull || this._limit <= this._settings.minimumLimit
    window.baseline = Math.min(median, window.baseline * (canBaselineRise ? BASELINE_GROWTH : 1))
    if (median > window.baseline * LATENCY_TOLERANCE) this._decrease()
    else if (isFull) this._increase()
  }

  /** Records that the backend servers had no capacity for a request. */
  onOverloaded (): void {
    this._endedSinceDecrease += 1
    this._decrease()
  }

  /** Decreases at most once per `limit` ended requests, since requests that started before a decrease do not reflect it. */
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
    if (this._windows.size >= MAXIMUM_REQUEST_KINDS) this._windows.delete(this._windows.keys().next().value as string)
    this._windows.set(requestKind, window)
    return window
  }
}

function medianOf (samples: readonly number[]): number {
  return [...samples].sort((left, right) => left - right)[samples.length >> 1] ?? 0
}
