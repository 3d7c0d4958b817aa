export { CallerMemory, type CallerHolding, type CallerMemoryLimits, type DroppedCaller, type ExceededLimit } from './callerMemory.js'
export { RequestSyntax, type AcceptedBytes } from './requestSyntax.js'
export { pathOf, readRequestTarget, type RequestTarget } from './requestTarget.js'
