/** What wasabihead checks of HTTP connections beside Node.js. */
export { breakOff } from './brokenAnswers.js'
export { CallerGuard, type CallerGuardSettings } from './callerGuard.js'
export { CheckedConnections, MalformedRequestError } from './checkedConnections.js'
export { MeasuredResponse } from './measuredResponse.js'
export { ResetAwareSocket } from './connectionResets.js'
