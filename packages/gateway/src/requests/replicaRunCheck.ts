/** Whether a replica is still the run that its registration describes. */
import { REGISTRATION_DELAY, replicaRunOf, type BeginningRun, type Milliseconds, type Replica, type StreamOrigin } from '@wasabihead/coordination'
import { callAddress } from '../channels/index.js'
import { recordColdAnswer, suspectRestart } from './coldReplicaEvents.js'
import type { GatewayState } from './gatewayState.js'

const TIMEOUT: Milliseconds = 500
/** Where no other replica is left: a sound one may be silent for a second or so, and callers give up after two or more. */
const LAST_REPLICA_TIMEOUT: Milliseconds = 2_000
/** A peer that asks where a stream began waits for 200 ms. */
const ORIGIN_TIMEOUT: Milliseconds = 120

/** A change of the store: its revision, and the era in which that was given out. */
export interface StoreChange {
  era: number
  changedAt: number
}

/** Whether the replica is the run that is registered, another one, or does not answer in time. */
export type RunCheck = 'registered' | 'restarted' | 'unknown'

/**
 * Asks a replica that was chosen for a stream to go on at.
 * @param isLast whether no other replica is left
 */
export async function checkRun (state: GatewayState, replica: Replica, isLast: boolean): Promise<RunCheck> {
  return await askForRun(state, replica, isLast ? LAST_REPLICA_TIMEOUT : TIMEOUT)
}

/**
 * Asks the replica when it started. One that has started again under its id accepts requests before its new registration, which
 * may state another software version, is read. A replica that answers without its start, as those of plain services may, counts
 * as the registered run. Replicas in evacuated data centres are not asked.
 */
async function askForRun (state: GatewayState, replica: Replica, timeout: Milliseconds): Promise<RunCheck> {
  if (state.catalog.isEvacuated(replica.zone)) return 'unknown'
  const askedAt = state.suspensionAwareNow()
  const outcome = await callAddress(state, replica, state.replicaProtocol.reportCall(replica), timeout)
  const startedAt = outcome.isAnswered ? state.replicaProtocol.readReport(outcome.body)?.startedAt : undefined
  if (outcome.isAnswered) recordColdAnswer(state, replica, outcome.coldLeft, askedAt)
  if (outcome.isAnswered && (startedAt === undefined || startedAt === replica.startedAt)) return 'registered'
  if (outcome.isAnswered) suspectRestart(state, replica.id)
  state.metrics.count('unverified_replica_runs_total', outcome.isAnswered ? 'restarted' : 'no-report')
  state.log.decision('replica-run-unverified', {
    replicaRun: replicaRunOf(replica),
    startedAt,
    detail: outcome.isAnswered ? `status ${outcome.status}` : outcome.reason
  })
  return outcome.isAnswered ? 'restarted' : 'unknown'
}

/**
 * Resolves with whether a stream began at a replica that has started again and is not registered as the new run yet, as far as
 * the replica can be asked.
 */
export async function isBeginningAmbiguous (
  state: GatewayState, { replica, replicaRun, connectedAt }: BeginningRun, timeout = TIMEOUT
): Promise<boolean> {
  const { catalog, streamOrigins } = state
  if (replica === undefined) return false
  const registeredUntil = catalog.registeredUntil(replica) ?? catalog.listedAt
  if (connectedAt <= registeredUntil - REGISTRATION_DELAY) return false
  if (await askForRun(state, replica, timeout) !== 'restarted') return false
  if (streamOrigins.onReplaced(replicaRun, registeredUntil) > 0) state.onStreamsAmbiguous()
  return true
}

/**
 * Where a stream began; undefined if this instance does not know. The replica is asked where its new registration may have been
 * missed.
 * @param asker the latest change of the store that the instance knows which asks; undefined where this one asks by itself
 */
export async function findOrigin (
  state: GatewayState, requestId: string, asker?: StoreChange
): Promise<StreamOrigin | undefined> {
  const { streamOrigins, catalog, suspensionAwareNow } = state
  const beginning = streamOrigins.beginningOf(requestId)
  if (beginning?.replica !== undefined && (catalog.hasExpired(beginning.replica.id) || isBehind(state, asker))) {
    await isBeginningAmbiguous(state, beginning, ORIGIN_TIMEOUT)
  }
  return streamOrigins.find(requestId, suspensionAwareNow())
}

function isBehind ({ mirror, catalogCurrency, readSchedule, suspensionAwareNow }: GatewayState, asker?: StoreChange): boolean {
  if (!catalogCurrency.isRecent(readSchedule.currentAsOf, suspensionAwareNow())) return true
  if (asker === undefined) return false
  return asker.era > mirror.era || (asker.era === mirror.era && asker.changedAt > mirror.reach)
}
