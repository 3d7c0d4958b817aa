/** Commands for requests that crash backend servers. */
import { z } from 'zod'
import { quarantineSchema } from '../client/index.js'
import {
  CommandGroup, formatTable, type CommandContext, type CommandDescription, type CommandOutput
} from '../program/index.js'
import { valueOrThrow } from './callHelpers.js'

/** `wasabihead quarantine`. */
export class QuarantineCommands extends CommandGroup {
  override readonly commands: readonly CommandDescription[] = [
    { usage: 'quarantine list', description: 'List requests that are suspect or refused since they crash backend servers', run: list },
    { usage: 'quarantine release <fingerprint>', description: 'Let a request run again', run: release }
  ]
}

async function list (_words: readonly string[], context: CommandContext): Promise<CommandOutput> {
  const quarantine = valueOrThrow(await context.client().read('/v1/quarantine', quarantineSchema))
  return { value: quarantine, text: formatTable(['fingerprint', 'workspace', 'kind', 'state', 'since'], quarantine.entries) }
}

async function release (words: readonly string[], context: CommandContext): Promise<CommandOutput> {
  const path = `/v1/quarantine/${encodeURIComponent(words[0] as string)}`
  const answer = valueOrThrow(await context.client().write('DELETE', path, undefined, z.unknown(), 'any'))
  return { value: answer ?? { released: words[0] }, text: `released ${words[0]}\n` }
}
