/** Where the configuration and its history stand in the key-value service. */
import { Result } from 'true-myth'
import {
  ABSENT_REVISION, configurationRecordSchema,
  type CompareAndSwapOutcome, type ConfigurationRecord, type KeyValueService, type PlatformError, type ConfigurationReadResult,
  type Watch
} from '@wasabihead/coordination'

/** Changes that are kept for operators. */
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

  /** A record of the history; undefined where there is none or it has been trimmed. */
  async readHistory (revision: number): Promise<Result<ConfigurationRecord | undefined, PlatformError>> {
    const read = await this._keyValue.read(this._historyKey(revision))
    return read.map(entry => entry === undefined ? undefined : decodeRecord(entry.value))
  }

  /** Puts the record in force if the key has not moved on. */
  async write (record: ConfigurationRecord, expectedRevision: number): Promise<Result<CompareAndSwapOutcome, PlatformError>> {
    return await this._keyValue.compareAndSwap({ key: this._currentKey, value: JSON.stringify(record), expectedRevision })
  }

  /** Keeps an accepted record in the history unless it stands there. */
  async keepHistory (record: ConfigurationRecord): Promise<Result<CompareAndSwapOutcome, PlatformError>> {
    const key = this._historyKey(record.revision)
    return await this._keyValue.compareAndSwap({ key, value: JSON.stringify(record), expectedRevision: ABSENT_REVISION })
  }

  /** Removes the record that has fallen out of the history. */
  async trimHistory (newestRevision: number): Promise<void> {
    const key = this._historyKey(newestRevision - HISTORY_LENGTH)
    const read = await this._keyValue.read(key)
    if (read.isOk && read.value !== undefined) await this._keyValue.remove(key, read.value.revision)
  }

  /** Tells each new record until stopped. A value that is not understood is told as undefined. */
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

/** A record from its JSON; undefined where it is not understood. */
export function decodeRecord (json: string): ConfigurationRecord | undefined {
  const parsed = configurationRecordSchema.safeParse(JSON.parse(json))
  return parsed.success ? parsed.data : undefined
}
