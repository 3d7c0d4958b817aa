/** The server for requests that peers relay, since they cannot connect to the replicas of a service. */
import type http from 'node:http'
import type { Milliseconds, Route } from '@wasabihead/coordination'
import { splitAddress } from '../channels/index.js'
import type { CallerHead } from '../protocol/index.js'
import { refuse, type RefusalReason } from './refusals.js'
import { formatRelayMessage, readRelayedRequest, RELAY_HEADER } from './relayMessages.js'
import { RequestServer, type RequestTerms } from './requestServer.js'

/** Further relayed requests are refused, so that their bodies and answers do not fill the memory. */
const MAXIMUM_RUNNING = 512
const IPV6_PREFIX = '::ffff:'

/** Serves peers. The caller's key and route are checked again, with a configuration that is not older than the peer's. */
export class RelayServer extends RequestServer {
  protected override _refusalOf (request: http.IncomingMessage): RefusalReason | undefined {
    const relayed = readRelayedRequest(request.headers)
    if (relayed === undefined || !this._isPeer(request.socket.remoteAddress)) return 'malformed'
    if (this.running >= MAXIMUM_RUNNING) return 'relays-full'
    const { configurationEra, configurationRevision } = relayed
    if (this._state.catalog.isConfigurationBehind(configurationEra, configurationRevision)) return 'configuration-behind'
    return undefined
  }

  protected override _termsOf (
    request: http.IncomingMessage, head: CallerHead, _route: Route, receivedAt: Milliseconds
  ): RequestTerms {
    const relayed = readRelayedRequest(request.headers)
    return {
      head: { ...head, lastEventId: relayed?.lastEventId },
      deadline: receivedAt + (relayed?.timeLeft ?? 0),
      relayed
    }
  }

  protected override _refuse (response: http.ServerResponse, reason: RefusalReason, { requestId = '' }: CallerHead): void {
    if (!response.headersSent) {
      const possibleRuns = readRelayedRequest(response.req.headers)?.possibleRuns ?? 0
      response.setHeader(RELAY_HEADER, formatRelayMessage({ requestId, possibleRuns, hasArrived: false, refusal: reason }))
    }
    refuse(response, reason, this._state)
  }

  private _isPeer (remoteAddress = ''): boolean {
    const address = remoteAddress.startsWith(IPV6_PREFIX) ? remoteAddress.slice(IPV6_PREFIX.length) : remoteAddress
    return this._state.fronts.peers.some(({ heartbeatAddress }) => splitAddress(heartbeatAddress)[0] === address)
  }
}
