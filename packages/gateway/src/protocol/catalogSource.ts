/** The store that the catalog is read from. */
import type { CatalogListing, PlatformError, StoreChanges, StoreSnapshot, VersionedValue } from '@wasabihead/coordination'
import type { Result } from 'true-myth'

/** The decoded values of the store. */
export interface StoreListing {
  catalog: CatalogListing
  /** Values under `ownPrefix`, written by instances of this project; not decoded. */
  own: VersionedValue[]
}

/** Reads and decodes the store. */
export abstract class CatalogSource {
  /** Prefix of the keys that instances of this project write. */
  abstract readonly ownPrefix: string

  /** Reads all values. Each page counts as one call to the store. */
  abstract list (): Promise<Result<StoreSnapshot, PlatformError>>

  /** Reads the changes after a revision, in one call; undefined if the store no longer has all of them. */
  abstract changesSince (revision: number): Promise<Result<StoreChanges | undefined, PlatformError>>

  /** Decodes the store's values, which were read in an era. */
  abstract decode (values: readonly VersionedValue[], era: number): StoreListing

  /** Whether two values of a key are equal apart from counters that rise all the time. */
  abstract isSame (before: VersionedValue, after: VersionedValue): boolean
}
