/** Records in the store which requests crash replicas, for instances that start later or were disconnected from their peers. */
import { ABSENT_REVISION, CRASH_LIFETIME, type KeyValueService } from '@wasabihead/coordination'
import type { GatewayState } from '../requests/index.js'

/** Follows the own prefix in the keys of crash records; each blocked request has one. */
export const CRASH_KEY_PREFIX = 'crashes/'

/** Writes and removes the records. Each instance receives them with its next read of the store. */
export class CrashRecords {
  private _isWriting = false

  constructor (
    private readonly _state: GatewayState, private readonly _store: KeyValueService, private readonly _ownPrefix: string
  ) {}

  /** Starts writing what has changed, unless that is under way. What fails is retried by the next call. */
  write (): void {
    if (!this._isWriting) this._state.log.detach('crash-records', this._writeChanges())
  }

  private async _writeChanges (): Promise<void> {
    const { crashes, now } = this._state
    this._isWriting = true
    try {
      for (const fingerprint of crashes.takeLiftedBlocks()) await this._remove(fingerprint)
      for (const fingerprint of crashes.unwrittenBlocks(now())) {
        if (await this._add(fingerprint)) crashes.onBlockWritten(fingerprint)
      }
    } finally {
      this._isWriting = false
    }
  }

  private async _add (fingerprint: string): Promise<boolean> {
    const lease = await this._store.grantLease(CRASH_LIFETIME)
    if (lease.isErr) return false
    const key = this._keyOf(fingerprint)
    const record = { key, expectedRevision: ABSENT_REVISION, value: fingerprint, leaseId: lease.value }
    const written = await this._store.compareAndSwap(record)
    if (written.isErr) return false
    this._state.log.change('crashing-request-recorded', { key, outcome: written.value.kind })
    return true
  }

  /** Failures are not retried; the record then expires with its lease. */
  private async _remove (fingerprint: string): Promise<void> {
    const key = this._keyOf(fingerprint)
    const existing = await this._store.read(key)
    if (existing.isOk && existing.value !== undefined) await this._store.remove(key, existing.value.revision)
  }

  private _keyOf (fingerprint: string): string {
    return `${this._ownPrefix}${CRASH_KEY_PREFIX}${fingerprint}`
  }
}
