/** Cache stores, the weight store and the host list. */
import type { Result } from 'true-myth'
import type { StoredBlock } from './backendServer.js'
import type { PlatformError } from './errors.js'

/** A cache store: one host with memory and disk. */
export abstract class CacheStore {
  /** Looks up blocks and returns the committed ones; freed and partly written blocks are absent. */
  abstract lookUp (blockKeys: readonly string[]): Promise<Result<StoredBlock[], PlatformError>>

  /** Frees one generation of a block; a later generation is retained. */
  abstract free (blockKey: string, generation: number): Promise<Result<void, PlatformError>>
}

/** The rate-limited weight store. */
export abstract class WeightStore {
  /** Lists the weight versions that can be loaded for a model. */
  abstract listVersions (model: string): Promise<Result<string[], PlatformError>>
}

/** One entry of the platform's host list. */
export interface ListedHost {
  name: string
  address: string
  state: 'live' | 'leaving'
}

/** The platform's list of live and leaving hosts, which lags behind their actual state. */
export abstract class HostList {
  /** Reads the current list. */
  abstract read (): Promise<Result<ListedHost[], PlatformError>>
}
