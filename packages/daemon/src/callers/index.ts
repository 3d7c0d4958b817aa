export { CallerServer, type CallerServerParts } from './callerServer.js'
export { RequestReader } from './requestReader.js'
