/** Limits retries to a share of first tries, so that a failing fleet is not flooded by its own retries. */
import type { Milliseconds } from '../common/index.js'

/** Settings of a retry budget. */
export interface RetryBudgetSettings {
  /** Retries allowed for each first try, in the long run. */
  retryShare: number
  /** Retries that may be saved up. */
  maximumSavedRetries: number
}

/** Counts first tries and retries of one workspace and kind. */
export class RetryBudget {
  private _saved: number

  /** @param _settings share and most saved retries */
  constructor (private readonly _settings: RetryBudgetSettings) {
    this._saved = _settings.maximumSavedRetries
  }

  /** Earns a share of a retry. */
  onFirstTry (): void {
    this._saved = Math.min(this._settings.maximumSavedRetries, this._saved + this._settings.retryShare)
  }

  /** Spends one retry if one is saved; whether it may go ahead. */
  trySpend (): boolean {
    if (this._saved < 1) return false
    this._saved -= 1
    return true
  }
}

/** Settings of the back-off between tries. */
export interface BackOffSettings {
  firstDelay: Milliseconds
  maximumDelay: Milliseconds
}

/** Delay before a retry: exponential with full jitter. `sample` is at least 0 and below 1. */
export function backOffDelay (settings: BackOffSettings, retry: number, sample: number): Milliseconds {
  const ceiling = Math.min(settings.maximumDelay, settings.firstDelay * 2 ** retry)
  return Math.ceil(ceiling * sample)
}

/** A come-back time from `retryAfter` to twice that, so that callers refused together do not return together. */
export function spreadRetryAfter (retryAfter: Milliseconds, sample: number): Milliseconds {
  return Math.ceil(retryAfter * (1 + sample))
}
