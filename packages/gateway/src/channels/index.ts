export { MalformedAnswerError, type AnswerHead } from './answerParser.js'
export { ChannelPool, type ChannelPoolSettings } from './channelPool.js'
export { ReplicaChannel, type ExchangeFault, type ExchangeListener, type ExchangeRequest } from './replicaChannel.js'
