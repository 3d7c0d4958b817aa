export { jsonBody, UnreadableBodyError } from './jsonBody.js'
export { GuardedServer, type ServerTimeouts, type TransportFault } from './guardedServer.js'
