/** What is sent to a replica with a request, and what is logged of it. */
import { replicaRunOf, urgencyOf, type Selection } from '@wasabihead/coordination'
import type { ReplicaChannel } from '../channels/index.js'
import type { CallerRequest } from './callerRequest.js'
import { forwardedHeaders } from './forwardedHeaders.js'
import type { GatewayState } from './gatewayState.js'

/**
 * The headers of a request as it is forwarded to the selected replica, without those of its body.
 * @param lastEventId the last event that the caller has of the stream
 */
export function replicaHeaders (
  state: GatewayState, request: CallerRequest, { replica, salt, sources, saves, fetchUntil }: Selection,
  lastEventId: string | undefined
): [string, string][] {
  const { prompt } = request.head
  return [
    ...forwardedHeaders(request.rawHeaders, name => state.callerProtocol.isForwarded(name)),
    ...state.replicaProtocol.forwardHeaders({
      replicaId: replica.id,
      timeLeft: Math.max(1, Math.floor(request.deadline - state.now())),
      workspace: request.workspace?.name,
      priority: prompt === undefined ? undefined : priorityOf(state, request),
      salt,
      // The salt contains the version that this instance has observed. A replica with other weights must not store or use parts
      // under that salt.
      weightVersion: replica.weightVersions[prompt?.model ?? ''],
      sources,
      saves,
      fetchUntil: fetchUntil === undefined ? undefined : state.storedParts.storeClockAt(fetchUntil),
      lastEventId
    })
  ]
}

function priorityOf ({ waitQueues }: GatewayState, { route, workspace }: CallerRequest): number {
  return waitQueues === undefined ? workspace?.priority ?? route.priority : urgencyOf(route, workspace)
}

/** Logs an attempt on a replica with the estimates behind its selection. */
export function logAttempt (
  { log, replicaLimits, catalog, suspensionAwareNow }: GatewayState,
  { head, route, relayed }: CallerRequest,
  selection: Selection,
  { attempt, requiredVersion, channel }: { attempt: number, requiredVersion: number | undefined, channel: ReplicaChannel }
): void {
  const { replica, cost, freshTokens, fetchedTokens, salt, saves, wait, origins } = selection
  log.decision('attempt', {
    requestId: head.requestId,
    attempt,
    route: route.name,
    isRelayed: relayed === undefined ? undefined : true,
    replica: replica.id,
    replicaRun: replicaRunOf(replica),
    softwareVersion: replica.softwareVersion,
    resumes: head.resumedRequestId,
    cost: Math.round(cost),
    freshTokens,
    fetchedTokens,
    salt,
    weightVersion: replica.weightVersions[head.prompt?.model ?? ''],
    requiredVersion,
    parts: head.prompt?.parts.map(({ id, tokens }, index) => `${id}:${tokens}:${origins[index] ?? 'read'}`).join(','),
    saves: saves?.map(address => address === undefined ? '-' : '+').join(''),
    wait: Math.round(wait),
    rateLimit: replicaLimits.rateOf(replica),
    isReusedChannel: channel.completedExchanges > 0,
    configurationRevision: catalog.configurationRevision,
    catalogAge: Math.round(suspensionAwareNow() - catalog.listedAt)
  })
}
