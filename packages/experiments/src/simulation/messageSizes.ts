/** Approximate encoded sizes of the calls between instances (protocol buffers), for counting bytes in simulations. */
import type { Member, MemberDigest } from '@wasabihead/coordination'

/** Bytes of headers and frames of one call, request and response together, on a connection that is already open. */
export const CALL_OVERHEAD_BYTES = 400

const TAG_BYTES = 1
const STATE_FIELD_BYTES = 2

/** Bytes of one member entry in a repeated field. */
export function memberBytes (member: Member): number {
  const instance = textBytes(member.host) + numberBytes(member.incarnation)
  const texts = textBytes(member.dataCentre) + textBytes(member.peerAddress) + textBytes(member.callerAddress)
  const numbers = numberBytes(member.version) + numberBytes(member.configurationRevision) + STATE_FIELD_BYTES
  return nestedBytes(nestedBytes(instance) + texts + numbers)
}

/** Bytes of a repeated field of member entries. */
export function membersBytes (members: readonly Member[]): number {
  return members.reduce((sum, member) => sum + memberBytes(member), 0)
}

/** Bytes of a repeated field of member digests. */
export function digestsBytes (digests: readonly MemberDigest[]): number {
  return digests.reduce((sum, digest) => sum + nestedBytes(
    textBytes(digest.host) + numberBytes(digest.incarnation) + numberBytes(digest.version) + STATE_FIELD_BYTES), 0)
}

function textBytes (text: string): number {
  return nestedBytes(Buffer.byteLength(text))
}

function numberBytes (value: number): number {
  return TAG_BYTES + Math.max(1, Math.ceil(Math.log2(value + 1) / 7))
}

function nestedBytes (length: number): number {
  return numberBytes(length) + length
}
