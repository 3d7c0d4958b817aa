/** Retry budgets and back-off of this instance. */
import type { BackOffSettings, RetryBudgetsSettings } from '@wasabihead/coordination'

/** One budget for each workspace and kind, shared by the model runner and the service runner. */
export const RETRY_BUDGETS: RetryBudgetsSettings = {
  retryShare: 0.2, maximumSavedRetries: 10, maximumBudgets: 4_096, idleTime: 600_000
}

/** Back-off between the attempts of one request. */
export const BACK_OFF: BackOffSettings = { firstDelay: 50, maximumDelay: 1_000 }
