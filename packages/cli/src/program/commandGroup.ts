/** Types that all groups of commands share. */
import type { OperatorClient } from '../client/operatorClient.js'

/** Result of a command: `value` is printed with `--json`, `text` without it. */
export interface CommandOutput {
  value: unknown
  text: string
}

/** Options as the command-line library parses them; a text that looks like a number becomes a number. */
export interface CommandOptions {
  [name: string]: string | number | boolean | string[] | undefined
}

/** Input and services for one run of a command. */
export interface CommandContext {
  options: CommandOptions
  /** Creates a client for the addresses of `--address`, or of the environment variable. */
  client: () => OperatorClient
  /** Creates a client for other addresses, for commands that call two environments. The default token is that of this run. */
  clientFor: (addresses: string, token: string | undefined) => OperatorClient
  /** Reads a file as text; "-" is standard input. @throws CommandFailedError */
  readText: (file: string) => string
  /** Name of the operator, which the history and claims record. */
  author: string
  /** Waits for one poll or retry interval. */
  pause: () => Promise<void>
}

/** One command. */
export interface CommandDescription {
  /** Command words and arguments, such as `config apply <file>`. */
  usage: string
  description: string
  options?: ReadonlyArray<{ flag: string, description: string }>
  /**
   * Runs the command with its positional arguments.
   * @throws CommandError or an error of the client if the command fails
   */
  run: (words: readonly string[], context: CommandContext) => Promise<CommandOutput>
}

/** Commands for one area, such as the configuration. */
export abstract class CommandGroup {
  abstract readonly commands: readonly CommandDescription[]
}

/** The value of an option as text, or undefined if the option is absent. */
export function optionText (options: CommandOptions, name: string): string | undefined {
  const value = options[name]
  return value === undefined ? undefined : String(value)
}
