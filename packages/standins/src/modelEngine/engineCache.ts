/** Prefix cache of the engine stand-in: a bounded LRU set of block keys with an event log. */

/** A block that was stored or removed; sequence numbers have no gaps. */
export interface EngineCacheEvent {
  sequence: number
  change: 'stored' | 'removed'
  blockKey: string
}

const MAXIMUM_EVENTS = 1_000

/** Keeps block keys in the order of their last use. */
export class EngineCache {
  private _held = new Set<string>()
  private _events: EngineCacheEvent[] = []
  private _sequence = 0

  /** @param _capacityBlocks maximum number of blocks */
  constructor (private readonly _capacityBlocks: number) {}

  /** Sequence number of the last event; 0 before the first. */
  get sequence (): number {
    return this._sequence
  }

  /** All cached block keys, the least recently used first. */
  get blockKeys (): string[] {
    return [...this._held]
  }

  /** Whether a block is cached; does not count as a use. */
  has (blockKey: string): boolean {
    return this._held.has(blockKey)
  }

  /** Number of cached blocks before the first that is not cached. */
  countCachedPrefix (blockKeys: readonly string[]): number {
    const missing = blockKeys.findIndex(blockKey => !this._held.has(blockKey))
    return missing === -1 ? blockKeys.length : missing
  }

  /** Marks blocks as used and stores those that are missing; evicts the least recently used blocks above the capacity. */
  hold (blockKeys: readonly string[]): void {
    for (const blockKey of blockKeys) {
      const isNew = !this._held.delete(blockKey)
      this._held.add(blockKey)
      if (isNew) this._record('stored', blockKey)
    }
    while (this._held.size > this._capacityBlocks) this._evictOldest()
  }

  /** Events after a sequence number; only the last `MAXIMUM_EVENTS` are retained. */
  eventsAfter (sequence: number): EngineCacheEvent[] {
    return this._events.filter(event => event.sequence > sequence)
  }

  /** Discards blocks and events and restarts the sequence, as a restart of an engine does. */
  clear (): void {
    this._held = new Set()
    this._events = []
    this._sequence = 0
  }

  private _evictOldest (): void {
    const oldest = this._held.values().next().value as string
    this._held.delete(oldest)
    this._record('removed', oldest)
  }

  private _record (change: 'stored' | 'removed', blockKey: string): void {
    this._sequence += 1
    this._events.push({ sequence: this._sequence, change, blockKey })
    if (this._events.length > MAXIMUM_EVENTS) this._events.shift()
  }
}
