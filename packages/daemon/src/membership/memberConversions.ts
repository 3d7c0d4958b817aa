/** Conversions between the types of the membership decisions and the protobuf messages. */
import { create } from '@bufbuild/protobuf'
import type { Member, MemberDigest } from '@wasabihead/coordination'
import { instanceFromWire, instanceToWire } from '../peers/index.js'
import {
  MemberDigestSchema, MemberEntrySchema, MemberState,
  type MemberDigest as WireDigest, type MemberEntry
} from '../peers/gen/wasabihead/v1/membership_pb.js'

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

export function memberToWire (member: Member): MemberEntry {
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

/** Converts a received entry; a state without a value is read as suspect. */
export function memberFromWire (entry: MemberEntry): Member {
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

export function digestToWire (digest: MemberDigest): WireDigest {
  return create(MemberDigestSchema, {
    host: digest.host,
    incarnation: BigInt(digest.incarnation),
    version: BigInt(digest.version),
    state: STATE_TO_WIRE[digest.state]
  })
}

/** Converts a received digest; a state without a value is read as suspect. */
export function digestFromWire (digest: WireDigest): MemberDigest {
  return {
    host: digest.host,
    incarnation: Number(digest.incarnation),
    version: Number(digest.version),
    state: STATE_FROM_WIRE[digest.state]
  }
}
