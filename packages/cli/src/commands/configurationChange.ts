/** Sends a change of the configuration, and waits until it is in force on every instance. */
import { randomUUID } from 'node:crypto'
import { z } from 'zod'
import {
  acceptedChangeSchema, conflictSchema, InstanceRefusedError, InstanceUnreachableError,
  storedConfigurationSchema, membersSchema, type StoredConfiguration, type OperatorClient
} from '../client/index.js'
import { ChangeConflictError, differenceOf, InstancesLagError, type CommandContext } from '../program/index.js'
import { valueOrThrow } from './callHelpers.js'

const MAXIMUM_ATTEMPTS = 4
/** The platform's service did not answer the instance. The change may be accepted; a retry with the same token finds out. */
const RETRIABLE_STATUSES = [503, 504]
const DEFAULT_WAIT_SECONDS = 30
const MILLISECONDS_PER_SECOND = 1_000

/** The environment and revision in which a promoted document was tried. */
export interface Promotion {
  environment: string
  revision: number
  digest: string
}

/** A change to send. */
export interface Change {
  source: string
  author: string
  /** The configuration that the change was made against. */
  base: StoredConfiguration
  promotedFrom?: Promotion
}

/** An accepted change. */
export type AcceptedChange = z.infer<typeof acceptedChangeSchema>

/** Reads the configuration in force. */
export async function readConfiguration (client: OperatorClient): Promise<StoredConfiguration> {
  return valueOrThrow(await client.read('/v1/configuration', storedConfigurationSchema))
}

/** Reads one revision of the history. */
export async function readRevision (client: OperatorClient, revision: number): Promise<StoredConfiguration> {
  return valueOrThrow(await client.read(`/v1/configuration/history/${revision}`, storedConfigurationSchema))
}

/** Reads the revision that a change was made from; if the history does not contain it, its document is empty. */
export async function readBase (client: OperatorClient, revision: number): Promise<StoredConfiguration> {
  const unknown = { revision, digest: '', source: '', author: '', appliedAt: '' }
  if (revision === 0) return unknown
  const read = await client.read(`/v1/configuration/history/${revision}`, storedConfigurationSchema)
  if (read.isErr && read.error instanceof InstanceRefusedError && read.error.status === 404) return unknown
  return valueOrThrow(read)
}

/**
 * Sends a change. All attempts carry the same token, so that a change that was accepted is recognised although its answer was
 * lost.
 * @throws ChangeConflictError or an error of the client
 */
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
    const isRetriable = error instanceof InstanceUnreachableError || RETRIABLE_STATUSES.includes(error.status)
    if (!isRetriable || attempt >= MAXIMUM_ATTEMPTS) throw error
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

/**
 * Waits until the revision is in force on every instance that is not dead.
 * @returns the hosts of these instances
 * @throws InstancesLagError with the instances that still lag at the deadline
 */
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
