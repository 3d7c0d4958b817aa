/** Commands for claims: the records of at-most-once and durable requests and of their outcomes. */
import { z } from 'zod'
import { claimsSchema } from '../client/index.js'
import {
  BadUsageError, CommandGroup, formatTable, optionText,
  type CommandContext, type CommandDescription, type CommandOutput
} from '../program/index.js'
import { toQueryString, valueOrThrow } from './callHelpers.js'

const OUTCOMES = ['ran', 'not-run']
const claimSchema = z.looseObject({})

/** `wasabihead claims`. */
export class ClaimCommands extends CommandGroup {
  override readonly commands: readonly CommandDescription[] = [
    {
      usage: 'claims list',
      description: 'List claims',
      options: [
        { flag: '--state <state>', description: 'Only those in a state, such as unknown' },
        { flag: '--workspace <workspace>', description: 'Only those of a workspace' },
        { flag: '--limit <count>', description: 'At most so many' }
      ],
      run: list
    },
    { usage: 'claims show <workspace> <key>', description: 'Show the claim of an idempotency key', run: show },
    {
      usage: 'claims resolve <workspace> <key>',
      description: 'Record what came of a request whose outcome is unknown, after you looked at the service',
      options: [
        { flag: '--outcome <outcome>', description: 'ran or not-run' },
        { flag: '--answer <file>', description: 'File with the answer to give to the caller, for ran' },
        { flag: '--author <name>', description: 'Name for the record (default: your user name)' }
      ],
      run: resolve
    }
  ]
}

async function list (_words: readonly string[], context: CommandContext): Promise<CommandOutput> {
  const { options } = context
  const query = toQueryString({
    state: optionText(options, 'state'), workspace: optionText(options, 'workspace'), limit: optionText(options, 'limit')
  })
  const claims = valueOrThrow(await context.client().read(`/v1/claims${query}`, claimsSchema))
  const columns = ['workspace', 'idempotencyKey', 'kind', 'treatment', 'state']
  return { value: claims, text: formatTable(columns, claims.claims) }
}

async function show (words: readonly string[], context: CommandContext): Promise<CommandOutput> {
  const claim = valueOrThrow(await context.client().read(pathOf(words), claimSchema))
  const rows = Object.entries(claim).map(([field, value]) => ({ field, value }))
  return { value: claim, text: formatTable(['field', 'value'], rows) }
}

async function resolve (words: readonly string[], context: CommandContext): Promise<CommandOutput> {
  const outcome = optionText(context.options, 'outcome') ?? ''
  if (!OUTCOMES.includes(outcome)) throw new BadUsageError('The outcome is missing or unknown', 'Give --outcome ran or --outcome not-run')
  const file = optionText(context.options, 'answer')
  if (file !== undefined && outcome !== 'ran') throw new BadUsageError('A request that did not run has no answer', 'Leave out --answer')
  const answer = file === undefined ? {} : { answer: { status: 200, body: context.readText(file) } }
  const body = { outcome, author: context.author, ...answer }
  const resolved = valueOrThrow(await context.client().write('POST', `${pathOf(words)}/resolution`, body, claimSchema, 'if-never-sent'))
  return { value: resolved, text: `resolved as ${outcome}\n` }
}

function pathOf (words: readonly string[]): string {
  return `/v1/claims/${words.map(encodeURIComponent).join('/')}`
}
