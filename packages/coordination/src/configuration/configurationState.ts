/** The configuration in force on one instance. It only ever moves to higher revisions. */
import { z } from 'zod'
import type { Milliseconds } from '../common/index.js'
import { configurationDocumentSchema } from './document.js'

/** The value kept under the environment's one configuration key. */
export const storedConfigurationSchema = z.strictObject({
  /** Count of accepted changes in this environment; rises by one with each. */
  revision: z.number().int().positive(),
  /** Names the change, so that a writer whose answer was lost can settle it by reading back. */
  changeToken: z.string().min(1),
  /** SHA-256 of the document's source text. */
  digest: z.string(),
  /** The source text, byte for byte, so that a promotion moves the very bytes that were tried. */
  source: z.string(),
  document: configurationDocumentSchema,
  author: z.string(),
  appliedAt: z.string()
})

/** The value kept under the environment's one configuration key. */
export type StoredConfiguration = z.infer<typeof storedConfigurationSchema>

/** Revision and digest, as told to other instances. */
export interface ConfigurationVersion {
  revision: number
  digest: string
}

/** Holds the configuration in force. */
export class ConfigurationState {
  private _current: StoredConfiguration | undefined
  private _lastConfirmedAt: Milliseconds | undefined

  /** The configuration in force, or undefined before the first. */
  get current (): StoredConfiguration | undefined {
    return this._current
  }

  /** When the service or a peer last confirmed that this revision is the latest known. */
  get lastConfirmedAt (): Milliseconds | undefined {
    return this._lastConfirmedAt
  }

  /** Revision 0 stands for "none yet". */
  get version (): ConfigurationVersion {
    return { revision: this._current?.revision ?? 0, digest: this._current?.digest ?? '' }
  }

  /** Takes a configuration in force if its revision is higher; whether it did. */
  offer (candidate: StoredConfiguration, now: Milliseconds): boolean {
    const isNewer = candidate.revision > this.version.revision
    if (isNewer) this._current = candidate
    if (candidate.revision >= this.version.revision) this._lastConfirmedAt = now
    return isNewer
  }
}
