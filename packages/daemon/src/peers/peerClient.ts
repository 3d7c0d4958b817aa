/** Calls to other instances. Connections are kept for each address and dropped together when one is found silent. */
import { createClient, type Client } from '@connectrpc/connect'
import { createConnectTransport } from '@connectrpc/connect-node'
import { Result } from 'true-myth'
import {
  RemediedError,
  type ClaimReply, type ClaimReport, type ClaimRequest, type InstanceIdentity, type Member, type Milliseconds
} from '@wasabihead/coordination'
import {
  claimReplyFromWire, claimReportToWire, claimRequestToWire, instanceFromWire, instanceToWire, memberFromWire, memberToWire
} from './conversions.js'
import { PeerService } from './gen/wasabihead/v1/peer_pb.js'

const CALL_TIMEOUT: Milliseconds = 2_000
const PROBE_TIMEOUT: Milliseconds = 500

/** An instance gave no answer. The call may have taken effect. */
export class PeerUnreachableError extends RemediedError {
  readonly kind = 'peer-unreachable'
}

/** Calls other instances by their peer address. */
export class PeerClient {
  private readonly _clients = new Map<string, Client<typeof PeerService>>()

  /** Exchanges member entries. */
  async gossip (
    address: string, environment: string, members: readonly Member[]
  ): Promise<Result<Member[], PeerUnreachableError>> {
    return await this._call(address, async client => {
      const answer = await client.gossip({ environment, members: members.map(memberToWire) }, { timeoutMs: CALL_TIMEOUT })
      return answer.members.map(memberFromWire)
    })
  }

  /** Asks for a sign of progress. */
  async probe (address: string, from: InstanceIdentity): Promise<Result<InstanceIdentity, PeerUnreachableError>> {
    return await this._call(address, async client => {
      const answer = await client.probe({ from: instanceToWire(from) }, { timeoutMs: PROBE_TIMEOUT })
      return instanceFromWire(answer.instance)
    })
  }

  /** Fetches the stored configuration as JSON; empty where the peer has none newer. */
  async fetchConfiguration (address: string, knownRevision: number): Promise<Result<string, PeerUnreachableError>> {
    return await this._call(address, async client => {
      const request = { knownRevision: BigInt(knownRevision) }
      return (await client.fetchConfiguration(request, { timeoutMs: CALL_TIMEOUT })).storedConfiguration
    })
  }

  /** Asks a shard's owner to record a claim. */
  async claim (address: string, request: ClaimRequest): Promise<Result<ClaimReply, PeerUnreachableError>> {
    return await this._call(address, async client =>
      claimReplyFromWire(await client.claim(claimRequestToWire(request), { timeoutMs: CALL_TIMEOUT })))
  }

  /** Reports a claim's outcome to its shard's owner. */
  async reportClaim (address: string, report: ClaimReport): Promise<Result<ClaimReply, PeerUnreachableError>> {
    return await this._call(address, async client =>
      claimReplyFromWire(await client.reportClaim(claimReportToWire(report), { timeoutMs: CALL_TIMEOUT })))
  }

  private async _call<Value> (
    address: string, perform: (client: Client<typeof PeerService>) => Promise<Value>
  ): Promise<Result<Value, PeerUnreachableError>> {
    try {
      return Result.ok(await perform(this._clientFor(address)))
    } catch (error) {
      // A silent connection would fail every later call too, so the next call opens a new one.
      this._clients.delete(address)
      return Result.err(new PeerUnreachableError(`No answer from ${address} (${String(error)})`, 'Try another instance'))
    }
  }

  private _clientFor (address: string): Client<typeof PeerService> {
    const known = this._clients.get(address)
    if (known !== undefined) return known
    const client = createClient(PeerService, createConnectTransport({ baseUrl: address, httpVersion: '2' }))
    this._clients.set(address, client)
    return client
  }
}
