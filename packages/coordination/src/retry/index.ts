export { backOffDelay, RetryBudget, type BackOffSettings, type RetryBudgetSettings } from './retryBudget.js'
