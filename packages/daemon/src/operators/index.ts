export { DrainRoutes } from './drainRoutes.js'
export { answerError, OperatorRoutes, type OperatorError } from './operatorRoutes.js'
export { OperatorServer } from './operatorServer.js'
export { StatusRoutes, type StatusSources } from './statusRoutes.js'
