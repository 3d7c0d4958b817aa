/** Keeps the requests that crash replicas in the store, for instances that start later or were cut off. */
import { ABSENT_REVISION, CRASH_LIFETIME, type KeyValueService } from '@wasabihead/coordination'
import type { GatewayState } from '../requests/index.js'

/** Under the own prefix: one key for each request that is stopped. */
export const CRASH_KEYS = 'crashes/'

/** Writes and removes the records; the listing brings them to every instance. */
export class CrashRecords {
  private _isWriting = false

  constructor (
    private readonly _state: GatewayState, private readonly _store: KeyValueService, private readonly _ownPrefix: string
  ) {}

  /** Writes what has changed; what fails is written at the next call. */
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

  /** A record that stays ends with its lease. */
  private async _remove (fingerprint: string): Promise<void> {
    const key = this._keyOf(fingerprint)
    const known = await this._store.read(key)
    if (known.isOk && known.value !== undefined) await this._store.remove(key, known.value.revision)
  }

  private _keyOf (fingerprint: string): string {
    return `${this._ownPrefix}${CRASH_KEYS}${fingerprint}`
  }
}
