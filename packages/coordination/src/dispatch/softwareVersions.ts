/**
 * The versions of the software of each service that serve or served recently. What left before this instance started is known
 * from records in the store, which the instances keep up to date.
 */
import * as z from 'zod'
import type { Replica } from '../catalog/index.js'
import type { Milliseconds } from '../common/index.js'

/** A version counts as serving for this long after its last replica left, since callers may still have streams of it. */
const VERSION_RETENTION: Milliseconds = 30_000

/** A record in the store: the versions of one service that serve or served recently. */
export const versionRecordSchema = z.object({ service: z.string(), versions: z.array(z.string()) })
/** A record in the store: the versions of one service that serve or served recently. */
export type VersionRecord = z.infer<typeof versionRecordSchema>

/** Versions by service. */
export class SoftwareVersions {
  /** When the last replica of a version left, by service and version. */
  private readonly _leftAt = new Map<string, Map<string, Milliseconds>>()
  /** When each version was first read in the record of its service; undefined before the first read. */
  private _records: Map<string, Map<string, Milliseconds>> | undefined
  /** Until when a service may have had versions that this instance knows nothing of. */
  private readonly _unknownUntil = new Map<string, Milliseconds>()

  /** @param _isFirstRun whether the whole fleet starts for the first time, so that no stream is older than this instance */
  constructor (private readonly _isFirstRun: boolean) {}

  /** Records that a replica has left. */
  onRemoved ({ service, softwareVersion = '' }: Replica, now: Milliseconds): void {
    const versions = this._leftAt.get(service) ?? new Map<string, Milliseconds>()
    for (const [version, at] of versions) if (now - at > VERSION_RETENTION) versions.delete(version)
    versions.set(softwareVersion, now)
    this._leftAt.set(service, versions)
  }

  /** Applies all records of the store. A version that is gone from a record left long enough ago, as its writer knows. */
  applyRecords (records: readonly VersionRecord[], replicas: readonly Replica[], now: Milliseconds): void {
    const before = this._records
    this._records = new Map(records.map(({ service, versions }) => [
      service, new Map(versions.map(version => [version, before?.get(service)?.get(version) ?? now]))
    ]))
    if (before !== undefined || this._isFirstRun) return
    for (const { service } of replicas) if (!this._records.has(service)) this._unknownUntil.set(service, now + VERSION_RETENTION)
  }

  /** The records that have to be written. */
  unwrittenRecords (replicas: readonly Replica[], now: Milliseconds): VersionRecord[] {
    const records = this._records
    if (records === undefined) return []
    const services = new Set([...replicas.map(replica => replica.service), ...records.keys()])
    return [...services].flatMap(service => {
      const versions = this._versionsOf(service, replicas, now).sort()
      const recorded = records.get(service)
      const isWritten = recorded?.size === versions.length && versions.every(version => recorded.has(version))
      return isWritten ? [] : { service, versions }
    })
  }

  /** Whether streams of several versions of the service may be open. */
  isMixed (service: string, replicas: readonly Replica[], now: Milliseconds): boolean {
    if (this._records === undefined && !this._isFirstRun) return true
    return now < (this._unknownUntil.get(service) ?? -Infinity) || this._versionsOf(service, replicas, now).length > 1
  }

  private _versionsOf (service: string, replicas: readonly Replica[], now: Milliseconds): string[] {
    const versions = new Set<string>()
    for (const replica of replicas) if (replica.service === service) versions.add(replica.softwareVersion ?? '')
    for (const times of [this._leftAt.get(service), this._records?.get(service)]) {
      for (const [version, at] of times ?? []) if (now - at <= VERSION_RETENTION) versions.add(version)
    }
    return [...versions]
  }
}
