/** Cache stores, the weight store and the host list. */
import type { Result } from 'true-myth'
import type { StoredBlock } from './backendServer.js'
import type { PlatformError } from './errors.js'

/** One store host with memory and disk. */
export abstract class CacheStore {
  /** The committed blocks among those asked for; a freed or partly written block is absent. */
  abstract lookUp (blockKeys: readonly string[]): Promise<Result<StoredBlock[], PlatformError>>

  /** Frees a block of one generation; a later generation stays. */
  abstract free (blockKey: string, generation: number): Promise<Result<void, PlatformError>>
}

/** The rate-limited weight store. */
export abstract class WeightStore {
  /** The weight versions that can be loaded for a model. */
  abstract listVersions (model: string): Promise<Result<string[], PlatformError>>
}

/** One entry of the platform's host list. The list lags. */
export interface ListedHost {
  name: string
  address: string
  state: 'live' | 'leaving'
}

/** The platform's lagging list of live and leaving hosts. */
export abstract class HostList {
  /** Reads the list as it is now believed. */
  abstract read (): Promise<Result<ListedHost[], PlatformError>>
}
