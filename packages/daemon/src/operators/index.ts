export { answerError, OperatorRoutes, type OperatorError } from './operatorRoutes.js'
export { OperatorServer } from './operatorServer.js'
