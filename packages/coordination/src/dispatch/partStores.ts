/** What a choice of a replica asks about the cache stores. */
import type { Milliseconds } from '../common/index.js'
import type { PromptPart } from './cachedParts.js'

/** A store that holds a part complete. */
export interface PartSource {
  address: string
  zone: string
  /** The fetch must have ended by then, on this instance's clock. */
  validUntil: Milliseconds
  /** How much longer its fetches take now than its link and its queue explain, as measured lately. */
  delay: Milliseconds
  linkMegabitsPerSecond: number
  /** Wait before each transfer. */
  firstDelay: Milliseconds
}

/** Answers where a part can be fetched from and saved to. */
export interface PartStores {
  sourceOf (salt: string, partId: string, zone: string, now: Milliseconds): PartSource | undefined
  saveTargetOf (salt: string, part: PromptPart, now: Milliseconds): string | undefined
}
