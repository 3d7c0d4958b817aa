/** Command that drains an instance before its host is taken away. */
import { z } from 'zod'
import { statusSchema, type OperatorClient } from '../client/index.js'
import {
  BadUsageError, CommandGroup, type CommandContext, type CommandDescription, type CommandOutput
} from '../program/index.js'
import { valueOrThrow } from './callHelpers.js'

const drainSchema = z.looseObject({ host: z.string() })

/** `wasabihead drain`. */
export class DrainCommands extends CommandGroup {
  override readonly commands: readonly CommandDescription[] = [{
    usage: 'drain',
    description: 'Let the instance at --address finish what runs, take nothing new, and end',
    options: [{ flag: '--wait', description: 'Wait until the instance has ended; this has no limit but the requests\' own' }],
    run: drain
  }]
}

async function drain (_words: readonly string[], context: CommandContext): Promise<CommandOutput> {
  const client = context.client()
  if (client.addresses.length !== 1) throw new BadUsageError('A drain is for one instance', 'Give one --address')
  const { host } = valueOrThrow(await client.write('POST', '/v1/drain', {}, drainSchema, 'any'))
  if (context.options.wait !== true) return { value: { host, state: 'leaving' }, text: `${host} is leaving\n` }
  await waitUntilGone(client, context)
  return { value: { host, state: 'ended' }, text: `${host} has ended\n` }
}

async function waitUntilGone (client: OperatorClient, context: CommandContext): Promise<void> {
  for (;;) {
    const read = await client.read('/v1/status', statusSchema)
    if (read.isErr && 'wasNeverSent' in read.error && read.error.wasNeverSent) return
    await context.pause()
  }
}
