/** The membership slice between instances. */
import { create } from '@bufbuild/protobuf'
import type { ConnectRouter } from '@connectrpc/connect'
import type { Result } from 'true-myth'
import type { InstanceIdentity, Member, MemberTable, Milliseconds } from '@wasabihead/coordination'
import type { Clock } from '../instance/clock.js'
import {
  instanceFromWire, instanceToWire, PeerRoutes, type PeerConnections, type PeerUnreachableError
} from '../peers/index.js'
import {
  MemberEntrySchema, MembershipService, MemberState, type MemberEntry
} from '../peers/gen/wasabihead/v1/membership_pb.js'

const GOSSIP_TIMEOUT: Milliseconds = 2_000
const PROBE_TIMEOUT: Milliseconds = 500

const STATE_TO_WIRE = {
  alive: MemberState.ALIVE, suspect: MemberState.SUSPECT, leaving: MemberState.LEAVING, dead: MemberState.DEAD
} as const
const STATE_FROM_WIRE: Record<MemberState, Member['state']> = {
  [MemberState.UNSPECIFIED]: 'suspect',
  [MemberState.ALIVE]: 'alive',
  [MemberState.SUSPECT]: 'suspect',
  [MemberState.LEAVING]: 'leaving',
  [MemberState.DEAD]: 'dead'
}

/** Calls the membership service of other instances. */
export class MembershipPeerClient {
  constructor (private readonly _connections: PeerConnections) {}

  /** Exchanges member entries. */
  async gossip (
    address: string, environment: string, members: readonly Member[]
  ): Promise<Result<Member[], PeerUnreachableError>> {
    return await this._connections.call(MembershipService, address, async client => {
      const answer = await client.gossip({ environment, members: members.map(memberToWire) }, { timeoutMs: GOSSIP_TIMEOUT })
      return answer.members.map(memberFromWire)
    })
  }

  /** Asks for a sign of progress. */
  async probe (address: string, from: InstanceIdentity): Promise<Result<InstanceIdentity, PeerUnreachableError>> {
    return await this._connections.call(MembershipService, address, async client => {
      const answer = await client.probe({ from: instanceToWire(from) }, { timeoutMs: PROBE_TIMEOUT })
      return instanceFromWire(answer.instance)
    })
  }
}

/** Serves the membership calls of other instances. */
export class MembershipPeerRoutes extends PeerRoutes {
  constructor (
    private readonly _environment: string,
    private readonly _members: MemberTable,
    private readonly _clock: Clock
  ) {
    super()
  }

  override register (router: ConnectRouter): void {
    router.service(MembershipService, {
      gossip: request => ({ members: this._gossip(request.environment, request.members).map(memberToWire) }),
      probe: () => ({ instance: instanceToWire(this._members.identity) })
    })
  }

  /** Entries of another environment are ignored. */
  private _gossip (environment: string, entries: readonly MemberEntry[]): readonly Member[] {
    if (environment !== this._environment) return []
    for (const entry of entries) this._members.merge(memberFromWire(entry), this._clock.monotonic())
    return this._members.members
  }
}

function memberToWire (member: Member): MemberEntry {
  return create(MemberEntrySchema, {
    instance: instanceToWire(member),
    version: BigInt(member.version),
    dataCentre: member.dataCentre,
    peerAddress: member.peerAddress,
    callerAddress: member.callerAddress,
    state: STATE_TO_WIRE[member.state],
    configurationRevision: BigInt(member.configurationRevision)
  })
}

function memberFromWire (entry: MemberEntry): Member {
  return {
    ...instanceFromWire(entry.instance),
    version: Number(entry.version),
    dataCentre: entry.dataCentre,
    peerAddress: entry.peerAddress,
    callerAddress: entry.callerAddress,
    state: STATE_FROM_WIRE[entry.state],
    configurationRevision: Number(entry.configurationRevision)
  }
}
