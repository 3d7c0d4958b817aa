/** Records in the store where the open streams of this instance began, while a service runs several versions of its software. */
import {
  ABSENT_REVISION, streamOriginsMessageSchema, type KeyValueService, type Milliseconds, type StreamOriginsMessage
} from '@wasabihead/coordination'
import type { GatewayState } from '../requests/index.js'

/** Follows the own prefix in the keys of the records; each instance has one. */
export const ORIGIN_KEY_PREFIX = 'stream-origins/'

/** Longer than callers take streams up. */
const RECORD_LIFETIME: Milliseconds = 60_000
const MINIMUM_INTERVAL: Milliseconds = 1_000
/** With many instances each writes less often, so that all together write at most this often. */
const INTERVAL_PER_INSTANCE: Milliseconds = 20

/** Decodes the value of a record; undefined if it is not one. */
export function parseOriginRecord (value: string): StreamOriginsMessage | undefined {
  try {
    return streamOriginsMessageSchema.parse(JSON.parse(value))
  } catch {
    return undefined
  }
}

/** Writes the record of this instance. A fleet that restarts as a whole reads those of all its instances. */
export class OriginRecords {
  private _isWriting = false
  private _nextAt: Milliseconds = -Infinity
  /** Revision of the record that was last written; undefined if that is not known. */
  private _revision: number | undefined

  constructor (
    private readonly _state: GatewayState, private readonly _store: KeyValueService, private readonly _ownPrefix: string
  ) {}

  /** Writes what is new, unless a write is under way or too recent. What fails is made up for by the next one. */
  write (): void {
    const { streamOrigins, softwareVersions, catalog, fronts, now, suspensionAwareNow } = this._state
    if (this._isWriting || now() < this._nextAt) return
    const record = streamOrigins.takeRecord(
      service => softwareVersions.isMixed(service, catalog.replicas, suspensionAwareNow()), suspensionAwareNow())
    if (record === undefined) return
    this._nextAt = now() + Math.max(MINIMUM_INTERVAL, INTERVAL_PER_INSTANCE * fronts.size(now()))
    this._state.log.detach('stream-origins', this._write(record))
  }

  /** The store may have lost the record: writes it once more. */
  writeAgain (): void {
    this._revision = undefined
    this._state.streamOrigins.recordAgain()
  }

  private async _write (record: StreamOriginsMessage): Promise<void> {
    this._isWriting = true
    try {
      await this._writeOnce(record)
    } finally {
      this._isWriting = false
    }
  }

  private async _writeOnce (record: StreamOriginsMessage): Promise<void> {
    const key = `${this._ownPrefix}${ORIGIN_KEY_PREFIX}${this._state.fronts.self.name}`
    const lease = await this._store.grantLease(RECORD_LIFETIME)
    if (lease.isErr) return
    if (this._revision === undefined) {
      const read = await this._store.read(key)
      if (read.isErr) return
      this._revision = read.value?.revision ?? ABSENT_REVISION
    }
    const value = JSON.stringify(record)
    const written = await this._store.compareAndSwap({ key, expectedRevision: this._revision, value, leaseId: lease.value })
    this._revision = written.isOk && written.value.kind === 'won' ? written.value.revision : undefined
  }
}
