export { type AcceptedRequest, type ModelInput } from './acceptedRequest.js'
export { ClaimedRunner } from './claimedRunner.js'
export { ModelRunner, type ModelAnswer } from './modelRunner.js'
export { ServiceRunner } from './serviceRunner.js'
