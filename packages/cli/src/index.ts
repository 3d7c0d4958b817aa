/** The operators' tool as a library: the client, and the commands, which other programs can run in their own process. */
export {
  InstanceRefusedError, InstanceUnreachableError, OperatorClient,
  type OperatorCallError, type OperatorTarget, type RetryPolicy
} from './client/index.js'
export { commandGroups } from './commands/index.js'
export { ExitCode, runCommandLine, type CommandLineDependencies } from './program/index.js'
