export {
  backOffDelay, RetryBudget, spreadRetryAfter, type BackOffSettings, type RetryBudgetSettings
} from './retryBudget.js'
export { RetryBudgets, type RetryBudgetsSettings } from './retryBudgets.js'
