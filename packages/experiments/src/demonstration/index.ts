export { applyDocument, serveRequests, type DemonstrationStep } from './demonstration.js'
