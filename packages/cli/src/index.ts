/** The operators' tool as a library: the client, and the commands, which other programs can run in their own process. */
export {
  InstanceRefusedError, InstanceUnreachableError, OperatorClient,
  type OperatorCallError, type OperatorTarget, type Repetition
} from './client/index.js'
export { commandGroups } from './commands/index.js'
export { ExitCode, runCommandLine, type CommandSurroundings } from './program/index.js'
