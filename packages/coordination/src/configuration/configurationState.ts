/** The configuration in force on one instance. Its revision never decreases. */
import * as z from 'zod'
import type { Milliseconds } from '../common/index.js'
import type { ConfigurationDocument } from './document.js'

/** The environment and revision from which a configuration was promoted. */
export const promotionSchema = z.strictObject({
  environment: z.string().min(1),
  revision: z.number().int().positive(),
  /** SHA-256 of the source text in that environment; it must equal the digest of the promoted source. */
  digest: z.string()
})

/** The value stored under the environment's only configuration key. Readers parse the document from `source`. */
export const configurationRecordSchema = z.object({
  /** Count of accepted changes in this environment; rises by one with each. */
  revision: z.number().int().positive(),
  /** Identifies the change, so that a writer that lost the answer can find out by a read whether its write won. */
  changeToken: z.string().min(1),
  /** SHA-256 of the document's source text. */
  digest: z.string(),
  /** The source text, byte for byte, so that a promotion copies exactly what was in force in the other environment. */
  source: z.string(),
  author: z.string(),
  appliedAt: z.string(),
  promotedFrom: promotionSchema.optional()
})

/** The value stored under the environment's only configuration key. */
export type ConfigurationRecord = z.infer<typeof configurationRecordSchema>

/** A record with the document that was parsed from its source and checked. */
export interface CheckedConfiguration extends ConfigurationRecord {
  document: ConfigurationDocument
}

/** Revision and digest, as reported to other instances. */
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

  /** Start time of the latest call to the service or a peer whose answer showed no higher revision. */
  get lastConfirmedAt (): Milliseconds | undefined {
    return this._lastConfirmedAt
  }

  /** Revision 0 and an empty digest where no configuration is in force yet. */
  get version (): ConfigurationVersion {
    return { revision: this._current?.revision ?? 0, digest: this._current?.digest ?? '' }
  }

  /** Puts a configuration in force if its revision is higher. Returns whether it did. */
  applyIfNewer (candidate: ConfigurationRecord): boolean {
    const isNewer = candidate.revision > this.version.revision
    if (isNewer) this._current = candidate
    return isNewer
  }

  /** Records that a call started at `askedAt` was answered by the service, or by a peer, without a higher revision. */
  confirm (askedAt: Milliseconds): void {
    this._lastConfirmedAt = Math.max(this._lastConfirmedAt ?? -Infinity, askedAt)
  }
}
