/** Puts one change of the configuration in force, and waits until every instance has it. */
import { randomUUID } from 'node:crypto'
import { z } from 'zod'
import {
  acceptedChangeSchema, conflictSchema, InstanceRefusedError, InstanceUnreachableError,
  keptConfigurationSchema, membersSchema, type KeptConfiguration, type OperatorClient
} from '../client/index.js'
import { ChangeConflictError, differenceOf, InstancesLagError, type CommandContext } from '../program/index.js'
import { valueOf } from './answers.js'

const MAXIMUM_TRIES = 4
/** The platform's service did not answer; the change may be in force, and the same token tells. */
const STATUSES_WORTH_ANOTHER_TRY = [503, 504]
const DEFAULT_WAIT_SECONDS = 30
const MILLISECONDS_PER_SECOND = 1_000

/** Where a promoted document was tried. */
export interface Promotion {
  environment: string
  revision: number
  digest: string
}

/** A change to put in force. */
export interface Change {
  source: string
  author: string
  /** The configuration that the change was made against. */
  base: KeptConfiguration
  promotedFrom?: Promotion
}

/** An accepted change. */
export type AcceptedChange = z.infer<typeof acceptedChangeSchema>

/** Reads the configuration in force. */
export async function readConfiguration (client: OperatorClient): Promise<KeptConfiguration> {
  return valueOf(await client.read('/v1/configuration', keptConfigurationSchema))
}

/** Reads one revision of the history. */
export async function readRevision (client: OperatorClient, revision: number): Promise<KeptConfiguration> {
  return valueOf(await client.read(`/v1/configuration/history/${revision}`, keptConfigurationSchema))
}

/** Reads the revision that a change was made from; one that the history does not hold reads as empty. */
export async function readBase (client: OperatorClient, revision: number): Promise<KeptConfiguration> {
  const unknown = { revision, digest: '', source: '', author: '', appliedAt: '' }
  if (revision === 0) return unknown
  const read = await client.read(`/v1/configuration/history/${revision}`, keptConfigurationSchema)
  if (read.isErr && read.error instanceof InstanceRefusedError && read.error.status === 404) return unknown
  return valueOf(read)
}

/** Sends a change. Its token stays the same over all tries, so that a try whose answer was lost is recognised. */
export async function putInForce (client: OperatorClient, change: Change, context: CommandContext): Promise<AcceptedChange> {
  const body = {
    source: change.source,
    expectedRevision: change.base.revision,
    author: change.author,
    changeToken: randomUUID(),
    ...(change.promotedFrom === undefined ? {} : { promotedFrom: change.promotedFrom })
  }
  for (let attempt = 1; ; attempt++) {
    const accepted = await client.write('PUT', '/v1/configuration', body, acceptedChangeSchema, 'any')
    if (accepted.isOk) return accepted.value
    const { error } = accepted
    if (error instanceof InstanceRefusedError && error.status === 409) throw toConflict(error, change)
    const mayHelp = error instanceof InstanceUnreachableError || STATUSES_WORTH_ANOTHER_TRY.includes(error.status)
    if (!mayHelp || attempt >= MAXIMUM_TRIES) throw error
    await context.pause()
  }
}

function toConflict (error: InstanceRefusedError, change: Change): Error {
  const current = conflictSchema.safeParse(error.body).data?.current
  if (current === undefined) return error
  const base = `revision ${change.base.revision}`
  const theirs = differenceOf(change.base.source, current.source)
  const yours = differenceOf(change.base.source, change.source)
  return new ChangeConflictError(
    `Revision ${current.revision} by ${current.author} was accepted first\n` +
    `--- ${base}\n+++ their change, revision ${current.revision}\n${theirs}` +
    `--- ${base}\n+++ your change, not accepted\n${yours}`,
    'Take their change into your document and apply it again',
    { theirs, yours, revision: current.revision })
}

/** Waits until every live instance has the revision; ends the command with the names of those that lag. */
export async function waitUntilInForce (client: OperatorClient, revision: number, context: CommandContext): Promise<string[]> {
  const seconds = Number(context.options.waitSeconds ?? DEFAULT_WAIT_SECONDS)
  const end = performance.now() + seconds * MILLISECONDS_PER_SECOND
  for (;;) {
    const read = await client.read('/v1/members', membersSchema)
    if (read.isErr && read.error instanceof InstanceRefusedError) throw read.error
    const instances = read.isOk ? read.value.members.filter(member => member.state !== 'dead') : []
    const lagging = instances.filter(instance => instance.configurationRevision < revision)
    if (instances.length > 0 && lagging.length === 0) return instances.map(instance => instance.host)
    if (performance.now() >= end) {
      const names = lagging.map(instance => `${instance.host} (revision ${instance.configurationRevision})`)
      throw new InstancesLagError(revision, { lagging: names.length > 0 ? names : ['instances that could not be asked'] })
    }
    await context.pause()
  }
}
