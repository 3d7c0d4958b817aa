export {
  InstanceRefusedError, InstanceUnreachableError, OperatorClient, type OperatorCallError, type OperatorTarget, type RetryPolicy
} from './operatorClient.js'
export * from './messages.js'
