/** Client and server of the membership calls between instances. */
import { Code, ConnectError, type ConnectRouter } from '@connectrpc/connect'
import type { Result } from 'true-myth'
import {
  INDIRECT_PROBE_TIMEOUT, PROBE_TIMEOUT,
  type DigestPage, type Member, type Milliseconds, type PageAnswer
} from '@wasabihead/coordination'
import { instanceToWire, PeerRoutes, type PeerConnections, type PeerUnreachableError } from '../peers/index.js'
import {
  MembershipService, type ProbeRequest, type ProbeResponse
} from '../peers/gen/wasabihead/v1/membership_pb.js'
import { digestFromWire, digestToWire, memberFromWire, memberToWire } from './memberConversions.js'
import type { MembershipLoop } from './membershipLoop.js'

const TABLE_CALL_TIMEOUT: Milliseconds = 2_000

/** Answer to a probe. */
export interface ProbeAnswer {
  /** The instance that answered the call; in an indirect probe it is the helper, not the target. */
  host: string
  members: Member[]
  /** Of the instance that answered the call. */
  configurationRevision: number
}

/** Calls the membership service of other instances. */
export class MembershipPeerClient {
  constructor (private readonly _connections: PeerConnections, private readonly _environment: string) {}

  /** Probes the target and exchanges updates with it. */
  async probe (
    from: Member, target: Member, news: readonly Member[]
  ): Promise<Result<ProbeAnswer, PeerUnreachableError>> {
    return await this._connections.call(MembershipService, target.peerAddress, async client => {
      return toProbeAnswer(await client.probe({
        environment: this._environment,
        targetHost: target.host,
        news: news.map(memberToWire),
        fromHost: from.host,
        configurationRevision: BigInt(from.configurationRevision)
      }, { timeoutMs: PROBE_TIMEOUT }))
    })
  }

  /** Probes the target indirectly, by a helper that sends the probe. */
  async probeThrough (
    helper: Member, target: Member, news: readonly Member[]
  ): Promise<Result<ProbeAnswer, PeerUnreachableError>> {
    return await this._connections.call(MembershipService, helper.peerAddress, async client => {
      return toProbeAnswer(await client.probeThrough({
        environment: this._environment,
        targetHost: target.host,
        targetAddress: target.peerAddress,
        news: news.map(memberToWire)
      }, { timeoutMs: INDIRECT_PROBE_TIMEOUT }))
    })
  }

  /** Sends entries. */
  async push (target: Member, members: readonly Member[]): Promise<Result<void, PeerUnreachableError>> {
    return await this._connections.call(MembershipService, target.peerAddress, async client => {
      await client.push({ environment: this._environment, members: members.map(memberToWire) }, { timeoutMs: TABLE_CALL_TIMEOUT })
    })
  }

  /** Sends a page of digests; returns the peer's newer entries and the hosts whose entries it wants. */
  async comparePage (target: Member, page: DigestPage): Promise<Result<PageAnswer, PeerUnreachableError>> {
    return await this._connections.call(MembershipService, target.peerAddress, async client => {
      const request = { environment: this._environment, after: page.after, digests: page.digests.map(digestToWire) }
      const answer = await client.comparePage(request, { timeoutMs: TABLE_CALL_TIMEOUT })
      return { members: answer.members.map(memberFromWire), wanted: answer.wanted }
    })
  }
}

/** Serves the membership calls of other instances; fails calls of another environment with `FailedPrecondition`. */
export class MembershipPeerRoutes extends PeerRoutes {
  constructor (private readonly _environment: string, private readonly _loop: MembershipLoop) {
    super()
  }

  override register (router: ConnectRouter): void {
    router.service(MembershipService, {
      probe: request => this._answerProbe(request),
      probeThrough: async request => {
        this._checkEnvironment(request.environment)
        this._loop.receive(request.news.map(memberFromWire))
        const answer = await this._loop.probeFor(request.targetHost, request.targetAddress)
        if (answer.isErr) throw new ConnectError(answer.error.message, Code.Unavailable)
        return this._toWire(answer.value.members)
      },
      push: request => {
        this._checkEnvironment(request.environment)
        this._loop.receive(request.members.map(memberFromWire))
        return {}
      },
      comparePage: request => {
        this._checkEnvironment(request.environment)
        const answer = this._loop.answerPage({ after: request.after, digests: request.digests.map(digestFromWire) })
        return { members: answer.members.map(memberToWire), wanted: answer.wanted }
      }
    })
  }

  private _answerProbe (request: ProbeRequest): Omit<ProbeResponse, '$typeName'> {
    this._checkEnvironment(request.environment)
    if (request.targetHost !== this._loop.self.host) {
      throw new ConnectError(`The instance at this address is ${this._loop.self.host}, not ${request.targetHost}`, Code.NotFound)
    }
    this._loop.onRevisionSeen(request.fromHost, Number(request.configurationRevision))
    return this._toWire(this._loop.answerProbe(request.news.map(memberFromWire)))
  }

  private _toWire (members: readonly Member[]): Omit<ProbeResponse, '$typeName'> {
    return {
      instance: instanceToWire(this._loop.self),
      news: members.map(memberToWire),
      configurationRevision: BigInt(this._loop.self.configurationRevision)
    }
  }

  private _checkEnvironment (environment: string): void {
    if (environment === this._environment) return
    throw new ConnectError(`This instance belongs to "${this._environment}", not "${environment}"`, Code.FailedPrecondition)
  }
}

function toProbeAnswer (response: ProbeResponse): ProbeAnswer {
  return {
    host: response.instance?.host ?? '',
    members: response.news.map(memberFromWire),
    configurationRevision: Number(response.configurationRevision)
  }
}
