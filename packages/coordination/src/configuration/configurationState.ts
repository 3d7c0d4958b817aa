/** The configuration in force on one instance. It only ever moves to higher revisions. */
import * as z from 'zod'
import type { Milliseconds } from '../common/index.js'
import type { ConfigurationDocument } from './document.js'

/** Where a promoted configuration was tried before. */
export const promotionSchema = z.strictObject({
  environment: z.string().min(1),
  revision: z.number().int().positive(),
  /** SHA-256 of the source that was tried; it must be the digest of the promoted source. */
  digest: z.string()
})

/** The value kept under the environment's one configuration key. The document is parsed from the source where it is read. */
export const configurationRecordSchema = z.object({
  /** Count of accepted changes in this environment; rises by one with each. */
  revision: z.number().int().positive(),
  /** Names the change, so that a writer whose answer was lost can settle it by reading back. */
  changeToken: z.string().min(1),
  /** SHA-256 of the document's source text. */
  digest: z.string(),
  /** The source text, byte for byte, so that a promotion moves the very bytes that were tried. */
  source: z.string(),
  author: z.string(),
  appliedAt: z.string(),
  promotedFrom: promotionSchema.optional()
})

/** The value kept under the environment's one configuration key. */
export type ConfigurationRecord = z.infer<typeof configurationRecordSchema>

/** A record with its checked document. */
export interface StoredConfiguration extends ConfigurationRecord {
  document: ConfigurationDocument
}

/** Revision and digest, as told to other instances. */
export interface ConfigurationVersion {
  revision: number
  digest: string
}

/** Holds the configuration in force. */
export class ConfigurationState {
  private _current: ConfigurationRecord | undefined
  private _lastConfirmedAt: Milliseconds | undefined

  /** The configuration in force, or undefined before the first. */
  get current (): ConfigurationRecord | undefined {
    return this._current
  }

  /** Start of the latest call whose answer, by the service or a peer, confirmed that this revision is the latest known. */
  get lastConfirmedAt (): Milliseconds | undefined {
    return this._lastConfirmedAt
  }

  /** Revision 0 stands for "none yet". */
  get version (): ConfigurationVersion {
    return { revision: this._current?.revision ?? 0, digest: this._current?.digest ?? '' }
  }

  /** Takes a configuration in force if its revision is higher; whether it did. */
  offer (candidate: ConfigurationRecord): boolean {
    const isNewer = candidate.revision > this.version.revision
    if (isNewer) this._current = candidate
    return isNewer
  }

  /** Notes that the service, or a peer that knows nothing newer, answered a call begun at the given time. */
  confirm (askedAt: Milliseconds): void {
    this._lastConfirmedAt = Math.max(this._lastConfirmedAt ?? -Infinity, askedAt)
  }
}
