export { applyDocument, DEMONSTRATION_PREFILL_RATE, serveRequests, type DemonstrationStep } from './demonstration.js'
