export {
  InstanceRefusedError, InstanceUnreachableError, OperatorClient, type OperatorCallError, type OperatorTarget, type Repetition
} from './operatorClient.js'
export * from './messages.js'
