/** How this instance retries. */
import type { BackOffSettings, RetryBudgetsSettings } from '@wasabihead/coordination'

/** Budgets for each workspace and kind, shared by all that retries. */
export const RETRY_BUDGETS: RetryBudgetsSettings = {
  retryShare: 0.2, maximumSavedRetries: 10, maximumBudgets: 4_096, idleTime: 600_000
}

/** Back-off between the tries of one request. */
export const BACK_OFF: BackOffSettings = { firstDelay: 50, maximumDelay: 1_000 }
