/** Records in the store which versions of its software a service runs or ran recently, for instances that start later. */
import { ABSENT_REVISION, contentDigest, versionRecordSchema, type KeyValueService, type VersionRecord } from '@wasabihead/coordination'
import type { GatewayState } from '../requests/index.js'

/** Follows the own prefix in the keys of the records; each service has one. They have no lease, since all instances may stop. */
export const VERSION_KEY_PREFIX = 'software-versions/'

/** Decodes the value of a record; undefined if it is not one. */
export function parseVersionRecord (value: string): VersionRecord | undefined {
  try {
    return versionRecordSchema.parse(JSON.parse(value))
  } catch {
    return undefined
  }
}

/** Writes the records. Only instances that read the store do, since the others do not see what is written there. */
export class VersionRecords {
  private _isWriting = false

  constructor (
    private readonly _state: GatewayState, private readonly _store: KeyValueService, private readonly _ownPrefix: string
  ) {}

  /** Starts writing what has changed, unless that is under way. What fails is retried by the next call. */
  write (): void {
    const { readSchedule, suspensionAwareNow } = this._state
    if (this._isWriting || !readSchedule.isReading(suspensionAwareNow())) return
    this._state.log.detach('version-records', this._writeChanges())
  }

  private async _writeChanges (): Promise<void> {
    const { softwareVersions, catalog, suspensionAwareNow } = this._state
    this._isWriting = true
    try {
      for (
        const record of softwareVersions.unwrittenRecords(catalog.replicas, suspensionAwareNow())
      ) await this._write(record)
    } finally {
      this._isWriting = false
    }
  }

  private async _write (record: VersionRecord): Promise<void> {
    const { service, versions } = record
    const key = `${this._ownPrefix}${VERSION_KEY_PREFIX}${contentDigest(service)}`
    const read = await this._store.read(key)
    if (read.isErr) return
    const value = JSON.stringify(record)
    if (read.value?.value === value) return
    const expectedRevision = read.value?.revision ?? ABSENT_REVISION
    const written = await this._store.compareAndSwap({ key, expectedRevision, value })
    if (written.isErr) return
    this._state.log.change('software-versions-recorded', { service, versions: versions.join(','), outcome: written.value.kind })
  }
}
