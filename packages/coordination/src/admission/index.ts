export { AdaptiveLimit, type AdaptiveLimitSettings } from './adaptiveLimit.js'
export { AdmissionQueue, type AdmissionSettings } from './admissionQueue.js'
export { REFUSAL_KINDS, RefusalError, type NotRun, type RefusalKind } from './errors.js'
export {
  REQUEST_CLASSES,
  type AdmissionEffect, type AdmissionEntry, type AdmissionMessage, type RequestClass, type RunOutcome
} from './messages.js'
