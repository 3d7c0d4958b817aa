/** Limits retries to a share of first attempts, so that retries do not overload a failing fleet. */
import type { Milliseconds } from '../common/index.js'

/** Settings of a retry budget. */
export interface RetryBudgetSettings {
  /** Retries allowed per first attempt, in the long run. */
  retryShare: number
  /** Maximum number of retries that may be saved; a new budget starts with as many. */
  maximumSavedRetries: number
}

/** The retry budget of one workspace and request kind. */
export class RetryBudget {
  private _saved: number

  /** @param _settings share of retries and maximum saved */
  constructor (private readonly _settings: RetryBudgetSettings) {
    this._saved = _settings.maximumSavedRetries
  }

  /** Adds `retryShare` retries to the budget. */
  onFirstAttempt (): void {
    this._saved = Math.min(this._settings.maximumSavedRetries, this._saved + this._settings.retryShare)
  }

  /** Spends one retry if one is saved; returns whether the retry is allowed. */
  trySpend (): boolean {
    if (this._saved < 1) return false
    this._saved -= 1
    return true
  }
}

/** Settings of the exponential back-off between attempts. */
export interface BackOffSettings {
  /** Upper bound of the delay before the first retry; it doubles with each further one. */
  firstDelay: Milliseconds
  maximumDelay: Milliseconds
}

/**
 * Delay before a retry: exponential back-off with full jitter.
 * @param retry number of earlier retries
 * @param sample random number, at least 0 and below 1
 */
export function backOffDelay (settings: BackOffSettings, retry: number, sample: number): Milliseconds {
  const ceiling = Math.min(settings.maximumDelay, settings.firstDelay * 2 ** retry)
  return Math.ceil(ceiling * sample)
}

/**
 * A retry delay from `retryAfter` to twice that, so that callers refused together do not retry together.
 * @param sample random number, at least 0 and below 1
 */
export function jitteredRetryAfter (retryAfter: Milliseconds, sample: number): Milliseconds {
  return Math.ceil(retryAfter * (1 + sample))
}
