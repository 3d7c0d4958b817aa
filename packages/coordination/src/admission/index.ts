export { ConcurrencyLimit } from './concurrencyLimit.js'
export { RefusalError, type NotRun, type RefusalKind } from './errors.js'
