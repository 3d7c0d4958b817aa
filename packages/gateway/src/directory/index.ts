export { EndpointServer, type EndpointHandler, type EndpointResponse } from './endpointServer.js'
