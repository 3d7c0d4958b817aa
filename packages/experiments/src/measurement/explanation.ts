/** Splits times to first token and recomputed tokens of a replay into their causes. */
import type { Milliseconds } from '@wasabihead/coordination'
import type { EngineModel } from './engineModel.js'
import type { StoreModel } from './storeModel.js'
import type { TraceRequest } from './trace.js'

/** Why prompt tokens were computed, in the order of the table. */
export const recomputeCauses = [
  'first-use', 'tail', 'computing-elsewhere', 'stored-not-imported', 'behind-gap', 'on-other-replica', 'freed-by-stores',
  'never-stored'
] as const

/** Name of a cause. */
export type RecomputeCause = typeof recomputeCauses[number]

/** Where the time to first token of one request went, in milliseconds. */
export interface FirstTokenSplit {
  total: Milliseconds
  /** From the look-up to the end of the imports, repeated placements included. */
  importing: Milliseconds
  /** In the replica's queue, or held up there by prompts that go first. */
  queued: Milliseconds
  computing: Milliseconds
  isReturn: boolean
  priority: number
}

/** Collects the causes of one replay. Everything is watched from its beginning; only what is told is counted. */
export class Explanation {
  readonly splits: FirstTokenSplit[] = []
  readonly recomputedTokens = new Map<RecomputeCause, number>(recomputeCauses.map(cause => [cause, 0]))
  private readonly _arrived = new Set<string>()
  private readonly _computed = new Set<string>()

  constructor (
    private readonly _engines: readonly EngineModel[],
    private readonly _stores: readonly StoreModel[],
    private readonly _blockTokens: number
  ) {}

  /** Finds the cause of each token that a request has to compute, as its prefill begins. */
  onPrefillStarted (request: TraceRequest, engine: EngineModel, heldBlocks: number, isCounted: boolean): void {
    const missing = request.blockKeys.slice(heldBlocks)
    if (isCounted) {
      for (const blockKey of missing) this._count(this._causeOf(blockKey, engine), this._blockTokens)
      this._count('tail', request.promptTokens - request.blockKeys.length * this._blockTokens)
    }
    for (const blockKey of missing) this._arrived.add(blockKey)
  }

  /** Notes that a request's blocks have been computed, and counts where its time went unless the replay warms up. */
  onFirstToken (request: TraceRequest, split: FirstTokenSplit, isCounted: boolean): void {
    for (const blockKey of request.blockKeys) this._computed.add(blockKey)
    if (isCounted) this.splits.push(split)
  }

  private _causeOf (blockKey: string, engine: EngineModel): RecomputeCause {
    if (!this._arrived.has(blockKey)) return 'first-use'
    if (!this._computed.has(blockKey)) return 'computing-elsewhere'
    if (engine.holds(blockKey)) return 'behind-gap'
    if (this._stores.some(store => store.holds(blockKey))) return 'stored-not-imported'
    if (this._engines.some(other => other.holds(blockKey))) return 'on-other-replica'
    return this._stores.some(store => store.hasHeld(blockKey)) ? 'freed-by-stores' : 'never-stored'
  }

  private _count (cause: RecomputeCause, tokens: number): void {
    this.recomputedTokens.set(cause, (this.recomputedTokens.get(cause) ?? 0) + tokens)
  }
}
