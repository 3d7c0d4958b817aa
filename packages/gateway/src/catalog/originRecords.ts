/** Records in the store where the open streams of this instance began, while a service runs several versions of its software. */
import {
  ABSENT_REVISION, OriginSegments, streamOriginsMessageSchema, type KeyValueService, type Milliseconds, type SegmentWrite,
  type StreamOriginsMessage
} from '@wasabihead/coordination'
import type { GatewayState } from '../requests/index.js'

/** Follows the own prefix in the keys of the records; each instance has several. */
export const ORIGIN_KEY_PREFIX = 'stream-origins/'

/** Longer than callers take streams up. */
const RECORD_LIFETIME: Milliseconds = 60_000
/** Records that are written within this time share a lease. */
const LEASE_SHARED_FOR: Milliseconds = 20_000

/** Decodes the value of a record; undefined if it is not one. */
export function parseOriginRecord (value: string): StreamOriginsMessage | undefined {
  try {
    return streamOriginsMessageSchema.parse(JSON.parse(value))
  } catch {
    return undefined
  }
}

interface Lease {
  id: string
  grantedAt: Milliseconds
}

/** Writes the records of this instance. A fleet that restarts as a whole reads those of all its instances. */
export class OriginRecords {
  private readonly _segments: OriginSegments
  private readonly _keyPrefix: string
  private _lease: Lease | undefined
  private _timer: NodeJS.Timeout | undefined
  /** How often the store came back from an older copy. */
  private _returns = 0

  constructor (private readonly _state: GatewayState, private readonly _store: KeyValueService, ownPrefix: string) {
    this._segments = new OriginSegments(_state.streamOrigins)
    const { name, incarnation } = _state.fronts.self
    this._keyPrefix = `${ownPrefix}${ORIGIN_KEY_PREFIX}${name}/${incarnation}-`
  }

  /** Writes what is in no record as soon as the rate allows. What fails is written again. */
  write (): void {
    if (this._timer !== undefined) return
    const delay = this._segments.delay(this._isNeeded, this._state.suspensionAwareNow())
    if (delay === undefined) return
    this._timer = setTimeout(() => {
      this._timer = undefined
      this._state.log.detach('stream-origins', this._write())
    }, delay)
  }

  /** The store may have lost the records and the lease: writes them once more after a delay. */
  writeAgain (delay: Milliseconds): void {
    this._returns += 1
    this._lease = undefined
    clearTimeout(this._timer)
    this._timer = undefined
    this._segments.recordAgain(delay, this._state.suspensionAwareNow())
    this.write()
  }

  private readonly _isNeeded = (service: string): boolean => {
    const { softwareVersions, catalog, suspensionAwareNow } = this._state
    return softwareVersions.isMixed(service, catalog.replicas, suspensionAwareNow())
  }

  private async _write (): Promise<void> {
    const { fronts, now, suspensionAwareNow } = this._state
    if (this._segments.delay(this._isNeeded, suspensionAwareNow()) === undefined) return
    const write = this._segments.begin(this._isNeeded, fronts.size(now()), suspensionAwareNow())
    const returns = this._returns
    let revision: number | undefined
    try {
      revision = await this._writeSegment(write)
    } finally {
      this._segments.end(write, returns === this._returns ? revision : undefined, suspensionAwareNow())
    }
    this.write()
  }

  /** Resolves with the revision of the record; undefined if it may not have been written. */
  private async _writeSegment ({ segment, revision = ABSENT_REVISION, message }: SegmentWrite): Promise<number | undefined> {
    const leaseId = await this._sharedLease()
    if (leaseId === undefined) return undefined
    const key = `${this._keyPrefix}${segment}`
    const written = await this._store.compareAndSwap({ key, expectedRevision: revision, value: JSON.stringify(message), leaseId })
    if (written.isOk && written.value.kind === 'won') return written.value.revision
    // The lease may be the reason.
    this._lease = undefined
    return undefined
  }

  private async _sharedLease (): Promise<string | undefined> {
    const now = this._state.suspensionAwareNow()
    if (this._lease !== undefined && now - this._lease.grantedAt < LEASE_SHARED_FOR) return this._lease.id
    const granted = await this._store.grantLease(RECORD_LIFETIME)
    if (granted.isErr) return undefined
    this._lease = { id: granted.value, grantedAt: now }
    return granted.value
  }
}
