#!/usr/bin/env node
/** Entry of the operators' tool. Exit codes: 0 done, 1 refused or failed, 2 wrong usage. */
import { readFileSync } from 'node:fs'
import { userInfo } from 'node:os'
import { cac } from 'cac'
import type { Result } from 'true-myth'
import { OperatorClient, type OperatorCallError } from './client/operatorClient.js'

const EXIT_FAILED = 1
const EXIT_BAD_USAGE = 2
const COMMAND_GROUPS = new Set(['config'])

interface CommonOptions {
  address?: string
  token?: string
  json?: boolean
}

function createClient (options: CommonOptions): OperatorClient {
  const address = options.address ?? process.env.WASABIHEAD_OPERATOR_ADDRESS
  const token = options.token ?? process.env.WASABIHEAD_OPERATOR_TOKEN
  if (address !== undefined && token !== undefined) return new OperatorClient({ address, token: String(token) })
  process.stderr.write('Set --address and --token, or WASABIHEAD_OPERATOR_ADDRESS and WASABIHEAD_OPERATOR_TOKEN\n')
  process.exit(EXIT_BAD_USAGE)
}

function print (result: Result<unknown, OperatorCallError>): void {
  if (result.isOk) {
    process.stdout.write(`${JSON.stringify(result.value, undefined, 2)}\n`)
    return
  }
  process.stderr.write(`${result.error.message}\n`)
  process.exitCode = EXIT_FAILED
}

const program = cac('wasabihead')
program.option('--address <url>', 'Operators\' address of an instance (WASABIHEAD_OPERATOR_ADDRESS)')
program.option('--token <token>', 'Operators\' token (WASABIHEAD_OPERATOR_TOKEN)')
program.option('--json', 'Print JSON')
program.command('config apply <file>', 'Apply a document').action(async (file: string, options: CommonOptions) => {
  const client = createClient(options)
  const current = await client.read('/v1/configuration')
  if (current.isErr) return print(current)
  const { revision } = current.value as { revision: number }
  print(await client.write('PUT', '/v1/configuration', {
    source: readFileSync(file, 'utf8'), expectedRevision: revision, author: userInfo().username
  }))
})
program.command('config show', 'Show the document in force').action(async (options: CommonOptions) => {
  print(await createClient(options).read('/v1/configuration'))
})
program.command('status', 'Show instances and their configuration').action(async (options: CommonOptions) => {
  print(await createClient(options).read('/v1/members'))
})
program.help()
program.version('0.1.0')
program.parse(joinCommandWords(process.argv))

/** The library knows only commands of one word, so that the two words of a grouped command are passed as one. */
function joinCommandWords (words: readonly string[]): string[] {
  const [node, script, group, command, ...rest] = words as [string, string, string, string, ...string[]]
  return COMMAND_GROUPS.has(group) ? [node, script, `${group} ${command}`, ...rest] : [...words]
}
