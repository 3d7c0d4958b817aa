export {
  backOffDelay, RetryBudget, jitteredRetryAfter, type BackOffSettings, type RetryBudgetSettings
} from './retryBudget.js'
export { RetryBudgets, type RetryBudgetsSettings } from './retryBudgets.js'
