/** Claim calls between instances: the client that calls a shard's owner, and the routes that serve the calls. */
import type { ConnectRouter } from '@connectrpc/connect'
import type { Result } from 'true-myth'
import type { Claim, ClaimReply, ClaimReport, ClaimRequest, ClaimResolution, Milliseconds } from '@wasabihead/coordination'
import { instanceFromWire, instanceToWire, PeerRoutes, type PeerConnections, type PeerUnreachableError } from '../peers/index.js'
import { ClaimService } from '../peers/gen/wasabihead/v1/claims_pb.js'
import type { ClaimCoordinator } from './claimCoordinator.js'
import {
  claimReplyFromWire, claimReplyToWire, claimReportFromWire, claimReportToWire, claimRequestFromWire, claimRequestToWire,
  resolutionFromWire, resolutionToWire
} from './claimConversions.js'

const CALL_TIMEOUT: Milliseconds = 5_000

/** Calls the owners of claim shards. */
export class ClaimPeerClient {
  constructor (private readonly _connections: PeerConnections) {}

  /** Asks a shard's owner to record a claim. */
  async claim (address: string, request: ClaimRequest): Promise<Result<ClaimReply, PeerUnreachableError>> {
    return await this._connections.call(ClaimService, address, async client =>
      claimReplyFromWire(await client.claim(claimRequestToWire(request), { timeoutMs: CALL_TIMEOUT })))
  }

  /** Forwards an operator's resolution to the owner of the claim's shard. */
  async resolve (address: string, resolution: ClaimResolution): Promise<Result<ClaimReply, PeerUnreachableError>> {
    return await this._connections.call(ClaimService, address, async client =>
      claimReplyFromWire(await client.resolveClaim(resolutionToWire(resolution), { timeoutMs: CALL_TIMEOUT })))
  }

  /** Asks a shard's owner for a claim. */
  async find (address: string, workspace: string, idempotencyKey: string): Promise<Result<ClaimReply, PeerUnreachableError>> {
    return await this._connections.call(ClaimService, address, async client =>
      claimReplyFromWire(await client.findClaim({ workspace, idempotencyKey }, { timeoutMs: CALL_TIMEOUT })))
  }

  /** Asks an executor whether it denies an attempt, see `ClaimCoordinator.denies`. */
  async denies (address: string, { attemptToken, executor }: Claim): Promise<Result<boolean, PeerUnreachableError>> {
    const request = { attemptToken, executor: instanceToWire(executor) }
    return await this._connections.call(ClaimService, address, async client =>
      (await client.askAttempt(request, { timeoutMs: CALL_TIMEOUT })).denied)
  }

  /** Reports a claim's outcome to its shard's owner. */
  async report (address: string, report: ClaimReport): Promise<Result<ClaimReply, PeerUnreachableError>> {
    return await this._connections.call(ClaimService, address, async client =>
      claimReplyFromWire(await client.reportClaim(claimReportToWire(report), { timeoutMs: CALL_TIMEOUT })))
  }
}

/** Serves the claim calls of other instances. */
export class ClaimPeerRoutes extends PeerRoutes {
  constructor (private readonly _coordinator: ClaimCoordinator) {
    super()
  }

  override register (router: ConnectRouter): void {
    router.service(ClaimService, {
      claim: async request => claimReplyToWire(await this._coordinator.claimHere(claimRequestFromWire(request))),
      reportClaim: async request => claimReplyToWire(await this._coordinator.reportHere(claimReportFromWire(request))),
      resolveClaim: async request => claimReplyToWire(await this._coordinator.resolveHere(resolutionFromWire(request))),
      askAttempt: request => ({
        denied: this._coordinator.denies(instanceFromWire(request.executor), request.attemptToken)
      }),
      findClaim: async request => claimReplyToWire(
        await this._coordinator.findHere(request.workspace, request.idempotencyKey))
    })
  }
}
