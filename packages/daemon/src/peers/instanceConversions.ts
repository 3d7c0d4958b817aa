/** Conversions of the protobuf messages that several peer services share. */
import { create } from '@bufbuild/protobuf'
import type { InstanceIdentity } from '@wasabihead/coordination'
import { InstanceSchema, type Instance } from './gen/wasabihead/v1/common_pb.js'

/** Converts the identity of an instance to its protobuf message. */
export function instanceToWire (identity: InstanceIdentity): Instance {
  return create(InstanceSchema, { host: identity.host, incarnation: BigInt(identity.incarnation) })
}

/** Reads the identity of an instance; missing fields become an empty host and incarnation 0. */
export function instanceFromWire (instance: Instance | undefined): InstanceIdentity {
  return { host: instance?.host ?? '', incarnation: Number(instance?.incarnation ?? 0) }
}
