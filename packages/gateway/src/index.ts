/** The gateway: the request path of wasabihead for callers that connect directly. */
export { ChannelPool, exchangeWhole, type WholeExchange } from './channels/index.js'
export { type EndpointHandler, type EndpointResponse } from './directory/index.js'
export { Gateway, type GatewayAdapter, type GatewaySettings } from './process/index.js'
export {
  CallerProtocol, CatalogSource, ReplicaProtocol,
  type AnswerFacts, type CallerHead, type ForwardFields, type HeaderFields, type ReplicaCall, type StatedRate, type StoreListing
} from './protocol/index.js'
