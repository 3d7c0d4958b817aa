export { CallerServer, type CallerServerDependencies } from './callerServer.js'
export { RequestReader, type AuthenticatedCaller } from './requestReader.js'
export { RequestLookup } from './requestLookup.js'
