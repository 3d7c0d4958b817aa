/** Where the catalog comes from. */
import type { CatalogListing, PlatformError, VersionedValue } from '@wasabihead/coordination'
import type { Result } from 'true-myth'

/** Everything that the store lists at one time. */
export interface StoreListing {
  catalog: CatalogListing
  /** The values that instances of this project wrote, by their own keys. */
  own: VersionedValue[]
}

/** Lists the store. */
export abstract class CatalogSource {
  /** Prefix of the keys that this project writes. */
  abstract readonly ownPrefix: string

  /** One linearizable listing; counts as a call for each page. */
  abstract list (): Promise<Result<StoreListing, PlatformError>>
}
