/** Where the catalog comes from. */
import type { CatalogListing, PlatformError, StoreChanges, StoreSnapshot, VersionedValue } from '@wasabihead/coordination'
import type { Result } from 'true-myth'

/** What the store's values say. */
export interface StoreListing {
  catalog: CatalogListing
  /** The values that instances of this project wrote, by their own keys. */
  own: VersionedValue[]
}

/** Reads the store. */
export abstract class CatalogSource {
  /** Prefix of the keys that this project writes. */
  abstract readonly ownPrefix: string

  /** Everything; counts as a call for each page. */
  abstract list (): Promise<Result<StoreSnapshot, PlatformError>>

  /** The changes after a revision, in one call; undefined where the store no longer has them all. */
  abstract changesSince (revision: number): Promise<Result<StoreChanges | undefined, PlatformError>>

  /** Decodes the store's values. */
  abstract decode (values: readonly VersionedValue[]): StoreListing

  /** Whether two values of a key say the same, beside counts that rise all the time. */
  abstract isSame (before: VersionedValue, after: VersionedValue): boolean
}
