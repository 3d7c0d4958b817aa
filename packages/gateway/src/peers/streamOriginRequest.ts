/** Asks other instances where a stream began that this one does not know. */
import { originHolders, streamOriginSchema, type StreamOrigin } from '@wasabihead/coordination'
import type { GatewayState, StoreChange } from '../requests/index.js'
import { PeerRequestError, requestFromPeer } from './peerRequest.js'

/** Path of the origins of streams at the control address; the query has the id of the request. */
export const STREAM_ORIGIN_PATH = '/v1/stream-origin'
/** Name of the query parameter with the id of the request. */
export const REQUEST_ID_PARAMETER = 'request'

/** Names of the query parameters with the latest change of the store that the asking instance knows. */
const ERA_PARAMETER = 'era'
const CHANGED_AT_PARAMETER = 'changed-at'

const LIMITS = { timeout: 200, maximumBytes: 4_096 }

/** Resolves with the first origin that a holder answers with, or with why there is none. */
export async function requestStreamOrigin (
  requestId: string, { fronts, mirror, log, now }: GatewayState
): Promise<StreamOrigin | 'unknown' | 'unanswered'> {
  const live = new Set(fronts.livePeers(now()).map(({ name }) => name))
  const peers = new Map(fronts.peers.map(({ name, controlAddress }) => [name, controlAddress]))
  const others = [...peers.keys()].filter(name => !live.has(name))
  const addresses = originHolders(requestId, [...live], others).flatMap(name => peers.get(name) ?? [])
  const change = `${ERA_PARAMETER}=${mirror.era}&${CHANGED_AT_PARAMETER}=${mirror.changedAt}`
  const path = `${STREAM_ORIGIN_PATH}?${REQUEST_ID_PARAMETER}=${encodeURIComponent(requestId)}&${change}`
  try {
    return await Promise.any(addresses.map(async address => (
      streamOriginSchema.parse(JSON.parse(await requestFromPeer(address, path, LIMITS))))))
  } catch (error) {
    const errors: unknown[] = error instanceof AggregateError ? error.errors : []
    const unanswered = errors.filter(each => each instanceof PeerRequestError && each.isTimedOut).length
    log.decision('stream-origin-unknown', { resumes: requestId, asked: addresses.length, unanswered, detail: String(errors[0] ?? error) })
    return unanswered > 0 ? 'unanswered' : 'unknown'
  }
}

/** The latest change of the store that the asking instance knows; one of an older build does not name it. */
export function readStoreChange (query: URLSearchParams): StoreChange {
  const [era, changedAt] = [ERA_PARAMETER, CHANGED_AT_PARAMETER].map(name => Number(query.get(name) ?? 0)) as [number, number]
  return { era, changedAt }
}
