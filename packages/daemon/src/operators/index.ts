export { OperatorServer, type OperatorServerParts } from './operatorServer.js'
