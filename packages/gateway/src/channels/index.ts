export { callAddress, type CallOutcome, type CallTarget } from './addressCalls.js'
export { MalformedAnswerError, type AnswerHead } from './answerParser.js'
export { ChannelPool, type ChannelPoolSettings } from './channelPool.js'
export { ReplicaChannel, type ExchangeFault, type ExchangeListener, type ExchangeRequest } from './replicaChannel.js'
