/** The pace of replicas that have started or recovered: where it is in force, and what is logged and counted of it. */
import type { Heartbeat, PaceCause, PaceChange, Replica } from '@wasabihead/coordination'
import type { GatewayState } from './gatewayState.js'

/** Begins the pace of a replica, if it is in force for its service. */
export function beginPace (state: GatewayState, replica: Replica, cause: PaceCause): void {
  if (!isPaceInForce(state, replica)) return
  reportPaceChange(state, replica, state.serverPace.begin(replica, cause, state.suspensionAwareNow()), { cause })
}

/** Whether replicas of the service have a pace: where it is cold after a start, or the settings state it for all services. */
export function isPaceInForce ({ catalog, isPaceForAllServices }: GatewayState, { service }: Replica): boolean {
  return isPaceForAllServices || (catalog.routes?.service(service)?.coldFor ?? 0) > 0
}

/** Logs and counts a change of the pace of a replica. */
export function reportPaceChange (
  { serverPace, log, metrics }: GatewayState,
  replica: Replica,
  change: PaceChange | undefined,
  source: { cause?: PaceCause, requestId?: string | undefined, toldBy?: string } = {}
): void {
  if (change === undefined) return
  metrics.count('replica_pace_changes_total', change)
  metrics.gauge('paced_replicas', serverPace.size)
  log.decision('replica-pace', { replica: replica.id, change, window: serverPace.windowOf(replica), ...source })
}

/** What this instance learned of the pace of replicas, as it is sent in a heartbeat; undefined where there is nothing. */
export function paceUpdates ({ serverPace, suspensionAwareNow }: GatewayState): Heartbeat['paces'] {
  const updates = serverPace.updates(suspensionAwareNow())
  if (updates.length === 0) return undefined
  return updates.map(({ replicaId, startedAt, epoch, window, age, isForAll }) => (
    [replicaId, startedAt, epoch, window ?? null, Math.ceil(age), isForAll]))
}

/** Applies what a peer learned of the pace of replicas; that of runs which are not registered here is left out. */
export function receivePaces (state: GatewayState, { from, paces = [] }: Pick<Heartbeat, 'from' | 'paces'>): void {
  for (const [replicaId, startedAt, epoch, window, age, isForAll] of paces) {
    const replica = state.catalog.replica(replicaId)
    if (replica?.startedAt !== startedAt || !isPaceInForce(state, replica)) continue
    const update = { replicaId, startedAt, epoch, window: window ?? undefined, age, isForAll }
    reportPaceChange(state, replica, state.serverPace.receive(replica, update, state.suspensionAwareNow()), { toldBy: from.name })
  }
}

/** Raises the pace of replicas of which nothing was learned for a while. */
export function tickPaces (state: GatewayState): void {
  for (const { replica, change } of state.serverPace.tick(state.suspensionAwareNow())) reportPaceChange(state, replica, change)
}
