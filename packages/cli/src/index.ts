/** The operators' tool as a library: the client, and the commands that run in another program. */
export {
  InstanceRefusedError, InstanceUnreachableError, OperatorClient,
  type OperatorCallError, type OperatorTarget, type Repetition
} from './client/index.js'
export { commandGroups } from './commands/index.js'
export { ExitCode, runCommandLine, type CommandSurroundings } from './program/index.js'
