/** Serves the calls of other instances. */
import http2 from 'node:http2'
import type { AddressInfo } from 'node:net'
import type { ConnectRouter } from '@connectrpc/connect'
import { connectNodeAdapter } from '@connectrpc/connect-node'
import type { ClaimReply, ClaimReport, ClaimRequest, InstanceIdentity, Member } from '@wasabihead/coordination'
import {
  claimReplyToWire, claimReportFromWire, claimRequestFromWire, instanceToWire, memberFromWire, memberToWire
} from './conversions.js'
import { PeerService } from './gen/wasabihead/v1/peer_pb.js'

/** What an instance does for its peers. */
export abstract class PeerHandlers {
  /** This instance's identity. */
  abstract identity (): InstanceIdentity
  /** Merges a peer's entries and answers its own; entries of another environment are ignored. */
  abstract gossip (environment: string, members: readonly Member[]): Member[]
  /** The stored configuration as JSON if newer than the known revision, else empty. */
  abstract configurationAfter (knownRevision: number): string
  /** Records a claim if this instance owns its shard. */
  abstract claim (request: ClaimRequest): Promise<ClaimReply>
  /** Records a claim's outcome if this instance owns its shard. */
  abstract reportClaim (report: ClaimReport): Promise<ClaimReply>
}

/** Listens for peers. */
export class PeerServer {
  private readonly _server: http2.Http2Server
  private readonly _sessions = new Set<http2.ServerHttp2Session>()

  /** @param handlers what to do for peers */
  constructor (handlers: PeerHandlers) {
    this._server = http2.createServer(connectNodeAdapter({ routes: router => { addRoutes(router, handlers) } }))
    this._server.on('session', session => {
      this._sessions.add(session)
      session.on('close', () => this._sessions.delete(session))
      session.on('error', () => {})
    })
  }

  /** Starts listening; gives the port. */
  async start (bindAddress: string, port: number): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this._server.once('error', reject)
      this._server.listen(port, bindAddress, resolve)
    })
    return (this._server.address() as AddressInfo).port
  }

  /** Stops listening and closes what is open. */
  async stop (): Promise<void> {
    for (const session of this._sessions) session.destroy()
    await new Promise<void>(resolve => { this._server.close(() => { resolve() }) })
  }
}

function addRoutes (router: ConnectRouter, handlers: PeerHandlers): void {
  router.service(PeerService, {
    gossip: request => ({
      members: handlers.gossip(request.environment, request.members.map(memberFromWire)).map(memberToWire)
    }),
    probe: () => ({ instance: instanceToWire(handlers.identity()) }),
    fetchConfiguration: request => ({ storedConfiguration: handlers.configurationAfter(Number(request.knownRevision)) }),
    claim: async request => claimReplyToWire(await handlers.claim(claimRequestFromWire(request))),
    reportClaim: async request => claimReplyToWire(await handlers.reportClaim(claimReportFromWire(request)))
  })
}
