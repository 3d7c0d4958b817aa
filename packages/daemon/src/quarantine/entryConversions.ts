/** Quarantine entries on the wire between instances. */
import type { MessageInitShape } from '@bufbuild/protobuf'
import { quarantineEntrySchema, type QuarantineEntry } from '@wasabihead/coordination'
import type { QuarantineEntry as WireEntry, QuarantineEntrySchema } from '../peers/gen/wasabihead/v1/quarantine_pb.js'

/** An entry as sent. */
export function entryToWire (entry: QuarantineEntry): MessageInitShape<typeof QuarantineEntrySchema> {
  return { ...entry, version: BigInt(entry.version) }
}

/** An entry as received; one that is not understood is left out. */
export function entryFromWire ({ $typeName, $unknown, ...wire }: WireEntry): QuarantineEntry[] {
  const parsed = quarantineEntrySchema.safeParse({ ...wire, version: Number(wire.version) })
  return parsed.success ? [parsed.data] : []
}
