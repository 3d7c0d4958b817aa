/** Passes on what indicates that a replica is cold, and reports the changes in the log and the metrics. */
import type { ColdChange, ColdUpdate, Heartbeat, Milliseconds, Replica } from '@wasabihead/coordination'
import type { GatewayState } from './gatewayState.js'

type EncodedColdUpdates = NonNullable<Heartbeat['cold']>

/** Compares the registrations of all replicas with the last listing. */
export function applyColdRegistrations (state: GatewayState): void {
  const { coldReplicas, catalog, fronts, suspensionAwareNow } = state
  const changes = coldReplicas.onListing(catalog.replicas, fronts.knownNames, suspensionAwareNow())
  for (const change of changes) logChange(state, change)
}

/**
 * Records what an answer of the replica says.
 * @param coldLeft undefined if it says nothing
 * @param sentAt when the answered request was sent
 */
export function recordColdAnswer (
  state: GatewayState, replica: Replica, coldLeft: Milliseconds | undefined, sentAt: Milliseconds
): void {
  if (coldLeft === undefined) return
  logChange(state, state.coldReplicas.onAnswer(replica, coldLeft, sentAt, state.suspensionAwareNow()))
}

/** Records that a replica may have restarted under its id: its connection ended or was refused, or it was silent. */
export function suspectRestart (state: GatewayState, replicaId: string): void {
  suspectCold(state, replicaId, 'restart-suspected')
}

/** Records that a replica may be cold. */
export function suspectCold (state: GatewayState, replicaId: string, basis: 'restart-suspected' | 'evacuation-ended'): void {
  logChange(state, state.coldReplicas.suspect(replicaId, basis, state.suspensionAwareNow()))
}

/** The statements of replicas as a heartbeat carries them; undefined if there are none. */
export function encodeColdUpdates (updates: readonly ColdUpdate[]): EncodedColdUpdates | undefined {
  if (updates.length === 0) return undefined
  return updates.map(({ replicaId, startedAt, left, heardAge, sentAge }) => (
    [replicaId, startedAt, Math.ceil(left), Math.ceil(heardAge), Math.ceil(sentAge)]))
}

/** Applies the statements of replicas that a peer has passed on. */
export function receiveColdUpdates (state: GatewayState, { from, cold = [] }: Pick<Heartbeat, 'from' | 'cold'>): void {
  for (const [replicaId, startedAt, left, heardAge, sentAge] of cold) {
    const update = { replicaId, startedAt, left, heardAge, sentAge }
    logChange(state, state.coldReplicas.receive(update, state.suspensionAwareNow()), from.name)
  }
}

/** Called periodically: logs the replicas that are no longer cold, and sets the number of those that are. */
export function reportColdReplicas (state: GatewayState): void {
  const { changes, cold } = state.coldReplicas.expire(state.suspensionAwareNow())
  for (const change of changes) logChange(state, change)
  state.metrics.gauge('cold_replicas', cold)
}

/** @param toldBy the peer that passed the statement on */
function logChange ({ log, metrics }: GatewayState, change: ColdChange | undefined, toldBy?: string): void {
  if (change === undefined) return
  const { replicaId, isCold, basis, left } = change
  metrics.count(isCold ? 'replicas_turned_cold_total' : 'replicas_turned_warm_total', basis)
  log.decision(isCold ? 'replica-cold' : 'replica-warm', {
    replica: replicaId, basis, left: isCold ? Math.round(left) : undefined, toldBy
  })
}
