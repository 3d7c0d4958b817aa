/** Parses the command line, runs one command, and prints its result. */
import { readFileSync } from 'node:fs'
import { userInfo } from 'node:os'
import { cac, type CAC } from 'cac'
import { ActionableError } from '@wasabihead/coordination'
import { OperatorClient } from '../client/operatorClient.js'
import { BadUsageError, CommandError, CommandFailedError } from './errors.js'
import { ExitCode } from './exitCodes.js'
import { optionText, type CommandContext, type CommandDescription, type CommandGroup, type CommandOptions, type CommandOutput } from './commandGroup.js'

const VERSION = '0.1.0'
const POLL_MILLISECONDS = 250
const STANDARD_INPUT = 0
const ADDRESS_VARIABLE = 'WASABIHEAD_OPERATOR_ADDRESS'
const TOKEN_VARIABLE = 'WASABIHEAD_OPERATOR_TOKEN'

/** Environment variables that the tool reads, and functions that write to standard output and standard error. */
export interface CommandLineDependencies {
  environment: Readonly<Record<string, string | undefined>>
  printOutput: (text: string) => void
  printError: (text: string) => void
}

/** Runs the command that the words name, and prints its result or its error. */
export async function runCommandLine (
  words: readonly string[], groups: readonly CommandGroup[], dependencies: CommandLineDependencies
): Promise<ExitCode> {
  const commands = groups.flatMap(group => group.commands)
  const program = createProgram()
  let isJson = words.includes('--json')
  let outcome: Promise<CommandOutput> | undefined
  for (const command of commands) {
    addCommand(program, command, (positional, options) => {
      isJson = options.json === true
      outcome = command.run(positional, createContext(options, dependencies))
    })
  }
  try {
    program.parse(['node', 'wasabihead', ...joinCommandWords(words, commands)], { run: false })
    if (program.options.help === true || program.options.version === true) return ExitCode.Done
    if (program.matchedCommand === undefined) throw unknownCommand(words)
    program.runMatchedCommand()
    const output = await (outcome as unknown as Promise<CommandOutput>)
    dependencies.printOutput(isJson ? `${JSON.stringify(output.value, undefined, 2)}\n` : output.text)
    return ExitCode.Done
  } catch (error) {
    return printError(toCommandError(error), isJson, dependencies)
  }
}

function createProgram (): CAC {
  const program = cac('wasabihead')
  program.option('--address <urls>', `Operators' addresses of instances, by commas, tried in order (${ADDRESS_VARIABLE})`)
  program.option('--token <token>', `Operators' token; prefer the variable, which others on the host cannot read (${TOKEN_VARIABLE})`)
  program.option('--json', 'Print JSON')
  program.help()
  program.version(VERSION)
  return program
}

function addCommand (
  program: CAC, description: CommandDescription, perform: (words: readonly string[], options: CommandOptions) => void
): void {
  const command = program.command(description.usage, description.description)
  for (const option of description.options ?? []) command.option(option.flag, option.description)
  command.action((...actionArguments: unknown[]) => {
    const options = actionArguments.at(-1) as CommandOptions
    perform(actionArguments.slice(0, -1).filter(word => word !== undefined).map(String), options)
  })
}

/** The command-line library matches only the first word, so the two words of a grouped command are joined to one. */
function joinCommandWords (words: readonly string[], commands: readonly CommandDescription[]): string[] {
  const names = new Set(commands.map(command => command.usage.split(/ [<[]/)[0]))
  const index = words.findIndex((word, position) => names.has(`${word} ${words[position + 1]}`))
  if (index < 0) return [...words]
  return [`${words[index]} ${words[index + 1]}`, ...words.slice(0, index), ...words.slice(index + 2)]
}

function createContext (options: CommandOptions, dependencies: CommandLineDependencies): CommandContext {
  const { environment } = dependencies
  const clientFor = (addresses: string, token: string | undefined): OperatorClient =>
    createClient(addresses, token ?? tokenOf(options, environment))
  return {
    options,
    client: () => {
      const addresses = Array.isArray(options.address) ? options.address.join(',') : optionText(options, 'address')
      return clientFor(addresses ?? environment[ADDRESS_VARIABLE] ?? '', undefined)
    },
    clientFor,
    readText,
    author: optionText(options, 'author') ?? userInfo().username,
    pause: async () => { await new Promise(resolve => { setTimeout(resolve, POLL_MILLISECONDS) }) }
  }
}

function tokenOf (options: CommandOptions, environment: CommandLineDependencies['environment']): string {
  // The library parses digits as a number, whose text may differ from what was typed, for example in leading zeros.
  if (typeof options.token === 'number') {
    throw new BadUsageError('A token of digits alone cannot be given as a flag', `Set ${TOKEN_VARIABLE}`)
  }
  const token = optionText(options, 'token') ?? environment[TOKEN_VARIABLE] ?? ''
  if (token === '') throw new BadUsageError('No operators\' token is given', `Set ${TOKEN_VARIABLE} or --token`)
  return token
}

function createClient (addresses: string, token: string): OperatorClient {
  const list = addresses.split(',').map(address => address.trim().replace(/\/+$/, '')).filter(address => address !== '')
  if (list.length === 0) throw new BadUsageError('No address is given', `Set ${ADDRESS_VARIABLE} or --address`)
  const invalidAddress = list.find(address => !/^https?:\/\//.test(address) || !URL.canParse(address))
  if (invalidAddress !== undefined) throw new BadUsageError(`The address "${invalidAddress}" is no URL`, 'Give one such as http://10.0.0.7:8081')
  return new OperatorClient({ addresses: list, token })
}

function readText (file: string): string {
  try {
    return readFileSync(file === '-' ? STANDARD_INPUT : file, 'utf8')
  } catch (error) {
    throw new CommandFailedError('file-unreadable', `The file "${file}" cannot be read (${String((error as { code?: string }).code)})`,
      'Check its name and rights')
  }
}

function unknownCommand (words: readonly string[]): BadUsageError {
  const problem = words.length === 0 ? 'No command is given' : 'There is no such command'
  return new BadUsageError(problem, 'Run "wasabihead --help" for the commands')
}

function toCommandError (error: unknown): CommandError {
  if (error instanceof CommandError) return error
  if (error instanceof ActionableError) {
    const body = 'body' in error ? (error.body as object | undefined) : undefined
    return new CommandFailedError(error.kind, error.problem, error.remedy, body ?? {})
  }
  if ((error as { name?: string }).name === 'CACError') {
    return new BadUsageError((error as Error).message, 'Run the command with --help')
  }
  return new CommandFailedError('unexpected', `The command failed: ${String(error)}`, 'Report it with the command that you ran')
}

function printError (error: CommandError, isJson: boolean, dependencies: CommandLineDependencies): ExitCode {
  if (isJson) {
    const errorOutput = { ...error.details, error: { type: error.kind, message: error.problem, remedy: error.remedy } }
    dependencies.printOutput(`${JSON.stringify(errorOutput, undefined, 2)}\n`)
  }
  dependencies.printError(`${error.message}\n`)
  return error.exitCode
}
