/** Conversions of what every peer service shares. */
import { create } from '@bufbuild/protobuf'
import type { InstanceIdentity } from '@wasabihead/coordination'
import { InstanceSchema, type Instance } from './gen/wasabihead/v1/common_pb.js'

/** An instance on the wire. */
export function instanceToWire (identity: InstanceIdentity): Instance {
  return create(InstanceSchema, { host: identity.host, incarnation: BigInt(identity.incarnation) })
}

/** An instance from the wire. */
export function instanceFromWire (instance: Instance | undefined): InstanceIdentity {
  return { host: instance?.host ?? '', incarnation: Number(instance?.incarnation ?? 0) }
}
