export {
  CommandGroup, optionText, type CommandContext, type CommandDescription, type CommandOptions, type CommandOutput
} from './commandGroup.js'
export { runCommandLine, type CommandLineDependencies } from './commandLine.js'
export { BadUsageError, ChangeConflictError, CommandError, CommandFailedError, InstancesLagError } from './errors.js'
export { ExitCode } from './exitCodes.js'
export { differenceOf } from './lineDifference.js'
export { formatTable, type TableRow } from './table.js'
