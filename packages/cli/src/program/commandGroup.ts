/** What every group of commands shares. */
import type { OperatorClient } from '../client/operatorClient.js'

/** What a command gives: a value for programs, and for people a text. */
export interface CommandOutput {
  value: unknown
  text: string
}

/** Options as the command-line library gives them: texts, and numbers where the text looks like one. */
export interface CommandOptions {
  [name: string]: string | number | boolean | string[] | undefined
}

/** What a command works with. */
export interface CommandContext {
  options: CommandOptions
  /** A client for the addresses that `--address` names. */
  client: () => OperatorClient
  /** A client for other addresses, for commands that speak to two environments. */
  clientFor: (addresses: string, token: string | undefined) => OperatorClient
  /** Reads a file as text; "-" is standard input. */
  readText: (file: string) => string
  /** Name of the operator, for the history. */
  author: string
  /** Pauses between two looks at a state. */
  pause: () => Promise<void>
}

/** One command. */
export interface CommandDescription {
  /** The words and arguments, such as `config apply <file>`. */
  usage: string
  description: string
  options?: ReadonlyArray<{ flag: string, description: string }>
  /** @throws a `CommandError` or a client's error where it can't be done */
  run: (words: readonly string[], context: CommandContext) => Promise<CommandOutput>
}

/** Commands about one duty. */
export abstract class CommandGroup {
  /** The group's commands. */
  abstract readonly commands: readonly CommandDescription[]
}

/** An option as text, or undefined where it is absent. */
export function optionText (options: CommandOptions, name: string): string | undefined {
  const value = options[name]
  return value === undefined ? undefined : String(value)
}
