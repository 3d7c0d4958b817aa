/** Commands for the configuration document. */
import { contentDigest } from '@wasabihead/coordination'
import { historySchema, statusSchema, type StoredConfiguration, type OperatorClient } from '../client/index.js'
import {
  BadUsageError, CommandFailedError, CommandGroup, differenceOf, formatTable, optionText,
  type CommandContext, type CommandDescription, type CommandOptions, type CommandOutput
} from '../program/index.js'
import { valueOrThrow } from './callHelpers.js'
import {
  putInForce, readBase, readConfiguration, readRevision, waitUntilInForce, type AcceptedChange, type Change
} from './configurationChange.js'
import { requireValid } from './documentSource.js'

const WAIT_OPTIONS = [
  { flag: '--wait', description: 'Wait until every instance has the revision, and name those that lag (exit code 4)' },
  { flag: '--wait-seconds <seconds>', description: 'How long to wait (default 30)' },
  { flag: '--author <name>', description: 'Name for the history (default: your user name)' }
] as const

/** `wasabihead config`. */
export class ConfigCommands extends CommandGroup {
  override readonly commands: readonly CommandDescription[] = [
    { usage: 'config validate <file>', description: 'Check a document without sending it ("-": standard input)', run: validate },
    {
      usage: 'config apply <file>',
      description: 'Put a document in force',
      options: [
        ...WAIT_OPTIONS,
        { flag: '--expected-revision <revision>', description: 'Revision that your document was made from (default: the one in force)' }
      ],
      run: apply
    },
    {
      usage: 'config show',
      description: 'Print the document in force, byte for byte',
      options: [{ flag: '--revision <revision>', description: 'A revision of the history' }],
      run: show
    },
    {
      usage: 'config diff <file>',
      description: 'Show what a document would change',
      options: [{ flag: '--revision <revision>', description: 'Compare with a revision of the history' }],
      run: compare
    },
    {
      usage: 'config promote',
      description: 'Put the very bytes in force in one environment in force in another',
      options: [
        ...WAIT_OPTIONS,
        { flag: '--from <urls>', description: 'Operators\' addresses of the environment where the document was tried' },
        { flag: '--to <urls>', description: 'Operators\' addresses of the environment to promote to' },
        { flag: '--from-token <token>', description: 'Operators\' token of the first, if it is another' },
        { flag: '--to-token <token>', description: 'Operators\' token of the second, if it is another' },
        { flag: '--digest <digest>', description: 'Promote only if the document tried has this digest' }
      ],
      run: promote
    },
    { usage: 'config history', description: 'List the changes accepted so far', run: listHistory }
  ]
}

async function validate (words: readonly string[], context: CommandContext): Promise<CommandOutput> {
  const source = context.readText(words[0] as string)
  const document = requireValid(source)
  const counts = Object.fromEntries(Object.entries(document).map(([section, entries]) => [section, entries.length]))
  const listed = Object.entries(counts).map(([section, count]) => `${count} ${section}`).join(', ')
  return { value: { isValid: true, digest: contentDigest(source), counts }, text: `valid: ${listed}\n` }
}

async function apply (words: readonly string[], context: CommandContext): Promise<CommandOutput> {
  const source = context.readText(words[0] as string)
  requireValid(source)
  const client = context.client()
  const expected = readNumber(context.options, 'expectedRevision')
  const inForce = await readConfiguration(client)
  const base = expected === undefined || expected === inForce.revision ? inForce : await readBase(client, expected)
  if (base === inForce && inForce.revision > 0 && inForce.digest === contentDigest(source)) {
    return await report(client, { revision: inForce.revision, digest: inForce.digest }, 'already in force', context)
  }
  const change: Change = { source, author: context.author, base }
  return await report(client, await putInForce(client, change, context), 'accepted', context)
}

async function show (_words: readonly string[], context: CommandContext): Promise<CommandOutput> {
  const stored = await readSelected(context.client(), context.options)
  if (stored.revision === 0) return { value: stored, text: '# no document is in force yet\n' }
  return { value: stored, text: stored.source }
}

async function compare (words: readonly string[], context: CommandContext): Promise<CommandOutput> {
  const source = context.readText(words[0] as string)
  requireValid(source)
  const stored = await readSelected(context.client(), context.options)
  const difference = differenceOf(stored.source, source)
  const text = difference === '' ? `the same as revision ${stored.revision}\n` : `--- revision ${stored.revision}\n+++ ${words[0]}\n${difference}`
  return { value: { revision: stored.revision, isSame: difference === '', difference }, text }
}

async function promote (_words: readonly string[], context: CommandContext): Promise<CommandOutput> {
  const from = optionText(context.options, 'from')
  const to = optionText(context.options, 'to')
  if (from === undefined || to === undefined) throw new BadUsageError('A promotion needs two environments', 'Give --from and --to')
  const trial = context.clientFor(from, optionText(context.options, 'fromToken'))
  const production = context.clientFor(to, optionText(context.options, 'toToken'))
  const tried = await readConfiguration(trial)
  requirePromotable(tried, optionText(context.options, 'digest'))
  const { environment } = valueOrThrow(await trial.read('/v1/status', statusSchema)).instance
  const base = await readConfiguration(production)
  if (base.digest === tried.digest) {
    return await report(production, { revision: base.revision, digest: base.digest }, 'already in force', context)
  }
  const promotedFrom = { environment, revision: tried.revision, digest: tried.digest }
  const accepted = await putInForce(production, { source: tried.source, author: context.author, base, promotedFrom }, context)
  if (accepted.digest !== tried.digest) {
    throw new CommandFailedError('digest-differs',
      `Revision ${accepted.revision} has digest ${accepted.digest}, not ${tried.digest} as tried`, 'Compare both with "config show"')
  }
  return await report(production, accepted, `promoted from revision ${tried.revision} of ${environment}`, context)
}

function requirePromotable (tried: StoredConfiguration, expectedDigest: string | undefined): void {
  if (tried.revision === 0) throw new CommandFailedError('nothing-to-promote', 'No document is in force there', 'Apply one and try it out first')
  const digest = contentDigest(tried.source)
  if (digest !== tried.digest) {
    throw new CommandFailedError('digest-differs', `The document arrived with digest ${digest}, not ${tried.digest}`, 'Run the command again')
  }
  if (expectedDigest === undefined || expectedDigest === digest) return
  throw new CommandFailedError('digest-differs',
    `The document in force there has digest ${digest}, not ${expectedDigest}`, 'Somebody changed it since; try it out again')
}

async function listHistory (_words: readonly string[], context: CommandContext): Promise<CommandOutput> {
  const history = valueOrThrow(await context.client().read('/v1/configuration/history', historySchema))
  return { value: history, text: formatTable(['revision', 'author', 'appliedAt', 'digest'], history.changes) }
}

async function report (
  client: OperatorClient, accepted: AcceptedChange, outcome: string, context: CommandContext
): Promise<CommandOutput> {
  const { revision, digest } = accepted
  const text = `revision ${revision} ${outcome}, digest ${digest}\n`
  if (context.options.wait !== true) return { value: { revision, digest, outcome }, text }
  const hosts = await waitUntilInForce(client, revision, context)
  return { value: { revision, digest, outcome, hosts }, text: `${text}in force on ${hosts.length} instances: ${hosts.join(', ')}\n` }
}

async function readSelected (client: OperatorClient, options: CommandOptions): Promise<StoredConfiguration> {
  const revision = readNumber(options, 'revision')
  return revision === undefined ? await readConfiguration(client) : await readRevision(client, revision)
}

function readNumber (options: CommandOptions, name: string): number | undefined {
  const text = optionText(options, name)
  if (text === undefined) return undefined
  if (/^\d+$/.test(text)) return Number(text)
  throw new BadUsageError(`"${text}" is no revision`, 'Give a whole number')
}
