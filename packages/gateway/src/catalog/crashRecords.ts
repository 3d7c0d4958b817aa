/** Records in the store which requests crash replicas, for instances that start later or were disconnected from their peers. */
import { ABSENT_REVISION, crashBlockSchema, type CrashBlock, type KeyValueService, type Milliseconds, type UnwrittenBlock } from '@wasabihead/coordination'
import type { GatewayState } from '../requests/index.js'

/** Follows the own prefix in the keys of crash records; each blocked request has one. */
export const CRASH_KEY_PREFIX = 'crashes/'

const MINIMUM_RECORD_LIFETIME: Milliseconds = 1_000

/** Decodes the value of a record; undefined if it is not one. */
export function parseCrashRecord (value: string): CrashBlock | undefined {
  try {
    return crashBlockSchema.parse(JSON.parse(value))
  } catch {
    return undefined
  }
}

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
    const { crashes, suspensionAwareNow } = this._state
    this._isWriting = true
    try {
      for (const name of crashes.takeLiftedBlocks(suspensionAwareNow())) await this._remove(name)
      for (const block of crashes.unwrittenBlocks(suspensionAwareNow())) {
        if (await this._ensureRecord(block)) crashes.onBlockWritten(block.name, suspensionAwareNow())
      }
    } finally {
      this._isWriting = false
    }
  }

  /** Writes the record unless the store has it; returns whether the store has it now. */
  private async _ensureRecord ({ name, features, age, timeLeft }: UnwrittenBlock): Promise<boolean> {
    const key = this._keyOf(name)
    const existing = await this._store.read(key)
    if (existing.isErr) return false
    if (existing.value !== undefined) return true
    const lease = await this._store.grantLease(Math.max(MINIMUM_RECORD_LIFETIME, timeLeft))
    if (lease.isErr) return false
    const value = JSON.stringify({ features, age: Math.round(age) })
    const written = await this._store.compareAndSwap({ key, expectedRevision: ABSENT_REVISION, value, leaseId: lease.value })
    if (written.isErr) return false
    this._state.log.change('crashing-request-recorded', { key, features: features.join(','), outcome: written.value.kind })
    return true
  }

  /** Failures are not retried; the record then expires with its lease. */
  private async _remove (name: string): Promise<void> {
    const key = this._keyOf(name)
    const existing = await this._store.read(key)
    if (existing.isOk && existing.value !== undefined) await this._store.remove(key, existing.value.revision)
  }

  private _keyOf (name: string): string {
    return `${this._ownPrefix}${CRASH_KEY_PREFIX}${name}`
  }
}
