/** Commands that show the state of instances. */
import type { z } from 'zod'
import { membersSchema, statusSchema } from '../client/index.js'
import {
  CommandGroup, formatTable, type CommandContext, type CommandDescription, type CommandOutput
} from '../program/index.js'
import { valueOrThrow } from './callHelpers.js'

/** `wasabihead status` and `wasabihead hosts`. */
export class StatusCommands extends CommandGroup {
  override readonly commands: readonly CommandDescription[] = [
    { usage: 'status', description: 'Show one instance, its members, configuration, histograms and counters', run: showStatus },
    { usage: 'hosts', description: 'List the hosts as one instance sees them', run: listHosts }
  ]
}

async function showStatus (_words: readonly string[], context: CommandContext): Promise<CommandOutput> {
  const status = valueOrThrow(await context.client().read('/v1/status', statusSchema))
  return { value: status, text: formatStatus(status) }
}

function formatStatus (status: z.infer<typeof statusSchema>): string {
  const { instance, configuration } = status
  return [
    `host ${instance.host} in ${instance.dataCentre}, environment ${instance.environment}, ${instance.state}\n`,
    `configuration revision ${configuration.revision}, digest ${configuration.digest || '-'}\n`,
    `${status.running} requests running\n\n`,
    formatTable(['host', 'dataCentre', 'state', 'configurationRevision'], status.members),
    '\ntimes in milliseconds\n',
    formatTable(['workspace', 'requestKind', 'measure', 'count', 'p50', 'p95', 'p99'], status.histograms),
    '\ncounters\n',
    formatTable(['workspace', 'requestKind', 'measure', 'count'], status.counters)
  ].join('')
}

async function listHosts (_words: readonly string[], context: CommandContext): Promise<CommandOutput> {
  const members = valueOrThrow(await context.client().read('/v1/members', membersSchema))
  return {
    value: members,
    text: formatTable(['host', 'dataCentre', 'state', 'configurationRevision', 'callerAddress'], members.members)
  }
}
