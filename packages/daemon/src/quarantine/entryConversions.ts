/** Conversions between quarantine entries and the peers' protocol. */
import type { MessageInitShape } from '@bufbuild/protobuf'
import { quarantineEntrySchema, type QuarantineEntry } from '@wasabihead/coordination'
import type { QuarantineEntry as WireEntry, QuarantineEntrySchema } from '../peers/gen/wasabihead/v1/quarantine_pb.js'

/** Converts an entry to its message. */
export function entryToWire (entry: QuarantineEntry): MessageInitShape<typeof QuarantineEntrySchema> {
  return { ...entry, version: BigInt(entry.version) }
}

/** Converts a received entry; the array is empty if the entry is invalid. */
export function entryFromWire ({ $typeName, $unknown, ...wire }: WireEntry): QuarantineEntry[] {
  const parsed = quarantineEntrySchema.safeParse({ ...wire, version: Number(wire.version) })
  return parsed.success ? [parsed.data] : []
}
