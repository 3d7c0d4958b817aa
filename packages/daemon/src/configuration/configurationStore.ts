/** Keys of the configuration and its history in the key-value service. */
import { Result } from 'true-myth'
import {
  ABSENT_REVISION, configurationRecordSchema,
  type CompareAndSwapOutcome, type ConfigurationRecord, type KeyValueService, type PlatformError, type ConfigurationReadResult,
  type Watch
} from '@wasabihead/coordination'

/** Number of accepted records, with the one in force, that are retained for operators. */
export const HISTORY_LENGTH = 20

/** Reads and writes the configuration's keys. */
export class ConfigurationStore {
  constructor (private readonly _environment: string, private readonly _keyValue: KeyValueService) {}

  /** The record in force, with the revision of its key. */
  async readCurrent (): Promise<Result<ConfigurationReadResult, PlatformError>> {
    const read = await this._keyValue.read(this._currentKey)
    return read.map(entry => ({
      record: entry === undefined ? undefined : decodeRecord(entry.value),
      keyRevision: entry?.revision ?? ABSENT_REVISION
    }))
  }

  /** A record of the history; undefined if it was never stored or has been trimmed. */
  async readHistory (revision: number): Promise<Result<ConfigurationRecord | undefined, PlatformError>> {
    const read = await this._keyValue.read(this._historyKey(revision))
    return read.map(entry => entry === undefined ? undefined : decodeRecord(entry.value))
  }

  /** Puts the record in force if the key still has the expected revision. */
  async write (record: ConfigurationRecord, expectedRevision: number): Promise<Result<CompareAndSwapOutcome, PlatformError>> {
    return await this._keyValue.compareAndSwap({ key: this._currentKey, value: JSON.stringify(record), expectedRevision })
  }

  /** Stores an accepted record in the history unless it is stored there already. */
  async keepHistory (record: ConfigurationRecord): Promise<Result<CompareAndSwapOutcome, PlatformError>> {
    const key = this._historyKey(record.revision)
    return await this._keyValue.compareAndSwap({ key, value: JSON.stringify(record), expectedRevision: ABSENT_REVISION })
  }

  /** Removes the record that the history no longer retains once this revision is in force. */
  async trimHistory (newestRevision: number): Promise<void> {
    const key = this._historyKey(newestRevision - HISTORY_LENGTH)
    const read = await this._keyValue.read(key)
    if (read.isOk && read.value !== undefined) await this._keyValue.remove(key, read.value.revision)
  }

  /** Calls `changed` with each new record until stopped; with undefined for a value that does not fit the schema. */
  watch (changed: (record: ConfigurationRecord | undefined) => void, ended: () => void): Watch {
    return this._keyValue.watch(this._currentKey, value => { changed(decodeRecord(value.value)) }, ended)
  }

  private get _currentKey (): string {
    return `wasabihead/${this._environment}/configuration`
  }

  private _historyKey (revision: number): string {
    return `wasabihead/${this._environment}/configuration-history/${revision}`
  }
}

/** Parses a record; undefined if it does not fit the schema. Throws if the text is not JSON. */
export function decodeRecord (json: string): ConfigurationRecord | undefined {
  const parsed = configurationRecordSchema.safeParse(JSON.parse(json))
  return parsed.success ? parsed.data : undefined
}
