/** Selects the peer that serves a request whose service this instance does not reach. */
import type { AttemptEnd, FrontRecord, Milliseconds } from '@wasabihead/coordination'
import type { CallTarget } from '../channels/index.js'
import type { Attempt } from './attempt.js'
import type { CallerRequest } from './callerRequest.js'
import { forwardedHeaders } from './forwardedHeaders.js'
import type { GatewayState } from './gatewayState.js'
import { PeerAttempt } from './peerAttempt.js'
import { formatRelayMessage, RELAY_HEADER, type RelayedRequest } from './relayMessages.js'

/** After so many replicas of one request that no connection could be opened to, a peer is tried instead of another replica. */
const UNCONNECTED_REPLICAS = 2
const MAXIMUM_PEERS = 3
/** Limit on the ids of replicas that are sent to a peer. */
const MAXIMUM_TRIED_SENT = 16

/** Selects peers for one request. A request that a peer relayed to this instance is not relayed again. */
export class PeerPlacement {
  private readonly _tried = new Set<string>()
  private _unconnectedReplicas = 0
  private _retryAfter: Milliseconds | undefined

  constructor (private readonly _state: GatewayState, private readonly _request: CallerRequest) {}

  /** When the last peer that refused the request expects to be able to serve it; undefined if none did. */
  get retryAfter (): Milliseconds | undefined {
    return this._retryAfter
  }

  /**
   * The peer to send the request to next; undefined if a replica should be tried, or no peer is known to be of use.
   * @param prefersPeers whether a peer is preferred from the first attempt on
   */
  selectInsteadOfReplica (service: string, prefersPeers: boolean): FrontRecord | undefined {
    const { peerLinks, random } = this._state
    return peerLinks.select(this._candidates(service, prefersPeers), random)
  }

  /** Whether `selectInsteadOfReplica` would return a peer. */
  hasPeerInsteadOfReplica (service: string, prefersPeers: boolean): boolean {
    return this._candidates(service, prefersPeers).length > 0
  }

  /** Where requests are relayed to; instances receive them over TCP at the port of their heartbeats. */
  targetOf ({ name, heartbeatAddress }: FrontRecord): CallTarget {
    return { id: `peer ${name}`, address: heartbeatAddress }
  }

  /** The caller's headers, with what the peer has to know about the request. */
  headersFor (message: Omit<RelayedRequest, 'timeLeft' | 'configurationRevision' | 'configurationEra'>): [string, string][] {
    const { catalog, now } = this._state
    const relayed: RelayedRequest = {
      ...message,
      tried: message.tried.slice(-MAXIMUM_TRIED_SENT),
      timeLeft: Math.max(0, this._request.deadline - now()),
      configurationRevision: catalog.configurationRevision,
      configurationEra: catalog.configurationEra
    }
    return [...forwardedHeaders(this._request.rawHeaders, () => true), [RELAY_HEADER, formatRelayMessage(relayed)]]
  }

  private _candidates (service: string, prefersPeers: boolean): FrontRecord[] {
    if (!prefersPeers && this._unconnectedReplicas < UNCONNECTED_REPLICAS) return []
    if (this._request.relayed !== undefined || this._tried.size >= MAXIMUM_PEERS) return []
    const { peerLinks, fronts, now } = this._state
    return peerLinks.candidates(service, fronts.livePeers(now()), this._tried, fronts.self.region, now())
  }

  /** Records the end of an attempt at a replica or a peer. */
  onAttemptEnded (attempt: Attempt, end: AttemptEnd): void {
    if (attempt instanceof PeerAttempt) {
      this._tried.add(attempt.peer.name)
      this._retryAfter = attempt.retryAfter ?? this._retryAfter
    } else if (end === 'not-sent') this._unconnectedReplicas += 1
  }
}
