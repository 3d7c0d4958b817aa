/** The operators' client as a library. */
export {
  InstanceRefusedError, InstanceUnreachableError, OperatorClient, type OperatorCallError, type OperatorTarget
} from './client/operatorClient.js'
