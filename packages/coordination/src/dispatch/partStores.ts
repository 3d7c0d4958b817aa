/** Interface through which replica selection queries the cache stores. */
import type { Milliseconds } from '../common/index.js'
import type { PromptPart } from './cachedParts.js'

/** A store that holds a complete copy of a part. */
export interface PartSource {
  address: string
  zone: string
  /** Deadline of the fetch, on this instance's clock. */
  validUntil: Milliseconds
  /** How much longer recent fetches took than the store's link speed and queue account for. */
  delay: Milliseconds
  linkMegabitsPerSecond: number
  /** Fixed latency before each transfer. */
  firstDelay: Milliseconds
}

/** Finds stores to fetch parts from and to save parts to. */
export interface PartStores {
  /** Returns a store from which replicas of a data centre can fetch the part, if any. */
  sourceOf (salt: string, partId: string, zone: string, now: Milliseconds): PartSource | undefined
  /** Returns the address of the store that the part should be saved to, or undefined if it should not be saved now. */
  saveTargetOf (salt: string, part: PromptPart, now: Milliseconds): string | undefined
}
