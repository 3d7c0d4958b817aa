/** The quarantine records in the key-value service: one key for each model, changed by compare-and-swap. */
import {
  ABSENT_REVISION, quarantineRecordSchema,
  type KeyValueService, type QuarantineRecord, type VersionedValue
} from '@wasabihead/coordination'

/** A record as read. */
export interface StoredRecord {
  record: QuarantineRecord | undefined
  revision: number
}

/** Outcome of a write; an `unknown` one may still take effect. */
export type WriteOutcome = 'won' | 'lost' | 'unknown'

/** Reads and writes the records. A result of undefined means that the service did not answer. */
export class QuarantineStore {
  constructor (private readonly _environment: string, private readonly _keyValue: KeyValueService) {}

  /** Reads one model's record. */
  async read (model: string): Promise<StoredRecord | undefined> {
    const read = await this._keyValue.read(this._prefix + model)
    if (read.isErr) return undefined
    if (read.value === undefined) return { record: undefined, revision: ABSENT_REVISION }
    return { record: decode(read.value), revision: read.value.revision }
  }

  /** Reads all records. */
  async list (): Promise<QuarantineRecord[] | undefined> {
    const listed = await this._keyValue.list(this._prefix)
    return listed.isErr ? undefined : listed.value.flatMap(value => decode(value) ?? [])
  }

  /** Writes one model's record over the revision that was read. If the service's answer is missing, the record is read back. */
  async write (model: string, record: QuarantineRecord, expectedRevision: number): Promise<WriteOutcome> {
    const value = JSON.stringify(record)
    const written = await this._keyValue.compareAndSwap({ key: this._prefix + model, value, expectedRevision })
    if (written.isOk) return written.value.kind
    const read = await this._keyValue.read(this._prefix + model)
    return read.isOk && read.value?.value === value ? 'won' : 'unknown'
  }

  private get _prefix (): string {
    return `wasabihead/${this._environment}/quarantine/`
  }
}

function decode ({ value }: VersionedValue): QuarantineRecord | undefined {
  const parsed = quarantineRecordSchema.safeParse(JSON.parse(value))
  return parsed.success ? parsed.data : undefined
}
